#ifndef LIMPETLEVER_NODE_RUNNING_QUERY_H_
#define LIMPETLEVER_NODE_RUNNING_QUERY_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "net/server_connection.h"
#include "node/replica_attempt.h"
#include "node/request_fingerprints.h"
#include "platform/request_codec.h"
#include "query/query_plan.h"
#include "timer/timer_service.h"

namespace limpetlever {

/** A caller's request in progress, with its query plan and its attempts in flight. */
struct running_query {
  std::shared_ptr<server_connection> caller;
  std::string request_id;
  request_fingerprints fingerprints;
  platform::replica_request_writer writer;
  query_plan plan;
  /** Indexed by attempt number; nullptr once the attempt has ended. */
  std::vector<std::shared_ptr<replica_attempt>> attempts;
  /** An answered attempt whose request may be sent to the same server again. */
  struct answered_attempt {
    const replica_record* target = nullptr;
    std::uint64_t connection_number = 0;
  };
  std::vector<answered_attempt> answered_attempts;
  instant started;
  timer_service::timer_id timer = 0;
  /** When `timer` is due. */
  instant timer_due;
  bool is_answered = false;
  /** Attempts that still waited for a connection when the query ended. */
  int unsent_attempts = 0;
  /** When the attempts still in flight are cancelled; set once the query is answered. */
  instant cancel_attempts_at;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_RUNNING_QUERY_H_
