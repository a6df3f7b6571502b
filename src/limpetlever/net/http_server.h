#ifndef LIMPETLEVER_NET_HTTP_SERVER_H_
#define LIMPETLEVER_NET_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/result.h"
#include "base/socket_address.h"
#include "config/caller_limits.h"
#include "net/caller_memory.h"
#include "net/io_watch.h"
#include "net/socket.h"
#include "timer/timer_service.h"

namespace limpetlever {

class event_loop;
class server_connection;

/** HTTP server on one address; passes each complete request to a function. */
class http_server : public io_watch::handler {
 public:
  /** Called for each request, which is answered by server_connection::Answer, at once or later. */
  using request_function = std::function<void(const std::shared_ptr<server_connection>&)>;

  http_server(event_loop& loop, socket_handle listener, request_function on_request);
  ~http_server() override;

  void SetLimits(const caller_limits& limits) { limits_ = limits; }
  const caller_limits& limits() const { return limits_; }
  /**
   * Stops accepting at this number of open connections; 0 means no limit. Further callers wait in
   * the kernel's accept queue.
   */
  void SetMaxConnections(std::size_t max) { max_connections_ = max; }
  /** Sets what the connections may hold together. */
  void SetMaxMemory(std::size_t max_bytes) { memory_.SetMaxBytes(max_bytes); }
  const caller_memory& memory() const { return memory_; }
  /** Why a connection was given up: what it holds, or the number of connections. */
  enum class give_up_cause { memory, connections };
  /**
   * Sets the function to call when a connection that holds `bytes` is given up. It must not use the
   * connection.
   */
  void OnGivenUp(std::function<void(give_up_cause cause, std::size_t bytes)> call) {
    on_given_up_ = std::move(call);
  }
  /** How many connections were given up since the start. */
  std::size_t given_up_count() const { return given_up_count_; }
  /** Makes each answer close its connection from now on. New connections are still accepted. */
  void BeginDrain() { is_draining_ = true; }
  bool IsDraining() const { return is_draining_; }
  /** Accepts no further connection. */
  void StopListening();
  bool IsListening() const { return listener_.is_open(); }
  std::size_t connection_count() const { return connections_.size(); }
  /**
   * Connections with an unanswered request, and those that the caller has yet to close after the
   * last answer.
   */
  std::size_t busy_count() const;

  event_loop& loop() { return loop_; }

 private:
  friend class server_connection;
  void OnReadable() override;
  void OnWritable() override {}
  void Remove(server_connection& connection);
  void CloseTimedOut();
  /**
   * Gives up the connections that have completed no request for the longest time, while nearly as
   * many are open as may be.
   */
  void GiveUpIdle();
  void ReportGivenUp(give_up_cause cause, std::size_t bytes);
  bool IsFull() const { return max_connections_ != 0 && connections_.size() >= max_connections_; }

  event_loop& loop_;
  socket_handle listener_;
  std::unique_ptr<io_watch> watch_;
  request_function on_request_;
  caller_limits limits_;
  /** For servers that set no limit; well above what a small host needs for one purpose. */
  static constexpr std::size_t kDefaultMaxMemory = std::size_t{32} * 1024 * 1024;
  caller_memory memory_{kDefaultMaxMemory};
  std::unordered_map<server_connection*, std::shared_ptr<server_connection>> connections_;
  std::function<void(give_up_cause, std::size_t)> on_given_up_;
  std::size_t given_up_count_ = 0;
  static constexpr std::size_t kDefaultMaxConnections = 1000;
  std::size_t max_connections_ = kDefaultMaxConnections;
  timer_service::timer_id sweep_ = 0;
  bool is_draining_ = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_HTTP_SERVER_H_
