#ifndef LIMPETLEVER_NODE_REPLICA_ATTEMPT_H_
#define LIMPETLEVER_NODE_REPLICA_ATTEMPT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "net/outgoing_request.h"
#include "query/attempt_failure.h"
#include "replicas/waiting_request.h"

namespace limpetlever {

class http_client;
class http_message;
struct replica_record;

/** One request to a backend server, queued for a connection or in flight. */
struct replica_attempt {
  std::shared_ptr<replica_record> target;
  /**
   * Returns the complete HTTP request for a server that has `time_left` to answer. Called when it
   * is sent, as that time passes while the attempt waits for a connection.
   */
  std::function<outgoing_request(duration time_left)> write_request;
  /** Whether it is a HEAD request, whose response has no body. */
  bool is_head = false;
  /** 0 is the most urgent. Attempts waiting for a connection get one in this order. */
  int priority = 0;
  /** When the query's caller stops waiting. */
  instant deadline;
  /** Decides how long it may wait for a connection. */
  waiting_request waiting;
  /** Whether it is a health check, which is sent to a cold server as well. */
  bool is_health_check = false;
  /** Called with a complete response; returns false if it answers another request. */
  std::function<bool(http_message&)> on_response;
  /**
   * Called when the connection is lost while the server may be running the request, before it is
   * known whether the server has crashed; `on_failure` follows.
   */
  std::function<void()> on_lost;
  /** Called if the attempt fails. No function is called after Cancel. */
  std::function<void(attempt_failure)> on_failure;
  /**
   * Called, possibly several times, while it waits for a connection to a server that is no longer
   * in use. Returns true if the request goes to another server; the attempt is then over.
   */
  std::function<bool()> on_excluded;
  /** Whether the query has ended it; no function is called and nothing is sent any more. */
  bool is_cancelled = false;
  /**
   * Connections on which the same request was sent to this server before. A second copy of an
   * earlier answer could arrive there, and its id would be the same.
   */
  std::vector<std::uint64_t> avoided_connections;
  /** The connection on which it was sent; nullptr while it waits for one. */
  http_client* connection = nullptr;
  /** Number of that connection within its pool. */
  std::uint64_t connection_number = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_REPLICA_ATTEMPT_H_
