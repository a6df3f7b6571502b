#ifndef LIMPETLEVER_NODE_RUNNING_QUERY_H_
#define LIMPETLEVER_NODE_RUNNING_QUERY_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "net/server_connection.h"
#include "node/replica_attempt.h"
#include "platform/request_codec.h"
#include "query/query_plan.h"
#include "timer/timer_service.h"

namespace limpetlever {

/** A caller's request with its plan and its attempts under way. */
struct running_query {
  std::shared_ptr<server_connection> caller;
  std::string request_id;
  /** The same for a request that its caller sends again. */
  std::uint64_t fingerprint = 0;
  platform::replica_request_writer writer;
  query_plan plan;
  /** By attempt number; nullptr once the attempt has ended. */
  std::vector<std::shared_ptr<replica_attempt>> attempts;
  instant started;
  timer_service::timer_id timer = 0;
  /** When `timer` is due. */
  instant timer_due;
  bool is_answered = false;
  /** Once answered: when the attempts that are left are ended. */
  instant give_up_at;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_RUNNING_QUERY_H_
