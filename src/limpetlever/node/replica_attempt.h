#ifndef LIMPETLEVER_NODE_REPLICA_ATTEMPT_H_
#define LIMPETLEVER_NODE_REPLICA_ATTEMPT_H_

#include <functional>
#include <memory>
#include <string>

#include "base/time_types.h"
#include "query/attempt_failure.h"

namespace limpetlever {

class http_client;
class http_message;
struct replica_record;

/** One request under way to a backend server. */
struct replica_attempt {
  std::shared_ptr<replica_record> target;
  std::string request;
  bool is_head = false;
  /** 0 is the most urgent; decides who gets a connection first. */
  int priority = 0;
  /** When it has to be given up. */
  instant deadline;
  /** A whole answer; returns false if it belongs to another request. */
  std::function<bool(http_message&)> on_response;
  std::function<void(attempt_failure)> on_failure;
  /** The connection that it was sent on; nullptr while it waits for one. */
  http_client* connection = nullptr;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_REPLICA_ATTEMPT_H_
