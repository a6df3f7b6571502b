#ifndef LIMPETLEVER_NET_HTTP_CLIENT_H_
#define LIMPETLEVER_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/socket_address.h"
#include "base/time_types.h"
#include "net/http_reader.h"
#include "net/outgoing_request.h"
#include "net/receive_memory.h"
#include "net/stream_socket.h"

namespace limpetlever {

class event_loop;

/** One connection to an HTTP server, with at most one request in flight. */
class http_client : public stream_socket::handler, public receive_memory::holder {
 public:
  /** How a connection ended. */
  enum class end_reason {
    /** The connection could not be opened. */
    not_connected,
    /** Closed by the peer while no request was in flight. */
    idle_closed,
    /** Bytes arrived while no request was in flight. */
    unexpected_bytes,
    /** Ended after the request was sent and before the complete response arrived. */
    lost,
    /**
     * The response is not valid HTTP, exceeds a size limit, does not come among many bytes, or was
     * given up because all responses together took too much memory.
     */
    malformed
  };
  class handler {
   public:
    virtual ~handler() = default;
    virtual void OnConnected(http_client& client) = 0;
    /**
     * A complete response has arrived. Returns false if it answers another request; the client then
     * waits for the next response on the connection.
     */
    virtual bool OnResponse(http_client& client, http_message& response) = 0;
    /** The connection has ended; the handler may destroy it. */
    virtual void OnEnded(http_client& client, end_reason reason) = 0;
  };

  /**
   * Begins to connect. A failure is reported from the event loop, never from the constructor.
   * Sent bytes may stay unacknowledged for `unacknowledged_timeout` before the connection fails.
   * `memory`, if not null, limits what the incomplete responses of several clients take together.
   */
  http_client(event_loop& loop,
              const socket_address& address,
              std::size_t max_body_bytes,
              duration unacknowledged_timeout,
              handler& target,
              std::shared_ptr<receive_memory> memory = nullptr);
  ~http_client() override;

  /** Sends a complete request. To be called only when connected and not busy. */
  void Send(outgoing_request request, bool is_head = false);
  void Send(std::string request) { Send({.head = std::move(request), .body = nullptr}); }

  bool IsConnected() const { return is_connected_; }
  /** Whether a request is in flight. */
  bool IsBusy() const { return is_busy_; }
  /**
   * Whether another request may be sent: the server keeps the connection open and nothing is left
   * on it.
   */
  bool IsReusable() const { return is_reusable_; }
  /** When the connection was opened or the last response arrived. */
  instant last_used() const { return last_used_; }
  /** When bytes of the response in progress last arrived; nullopt before the first ones. */
  std::optional<instant> last_received() const { return last_received_; }
  /** How long the server keeps an idle connection open; zero if it did not state that. */
  duration idle_timeout() const { return idle_timeout_; }

 private:
  void OnConnected() override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd() override;
  void OnError(int error) override;
  void OnMemoryReclaimed() override;
  /** Tells `memory_` what the incomplete response takes. May end this connection or others. */
  void HoldMemory();
  void ReleaseMemory();
  /** Returns false if this object no longer exists. */
  bool DeliverResponse();
  void End(end_reason reason);

  event_loop& loop_;
  handler& handler_;
  http_reader reader_;
  const std::shared_ptr<receive_memory> memory_;
  const std::size_t max_received_bytes_;
  /** Bytes that arrived since the request was sent. */
  std::size_t received_bytes_ = 0;
  stream_socket socket_;
  bool is_connected_ = false;
  bool is_busy_ = false;
  bool is_reusable_ = true;
  bool is_ended_ = false;
  instant last_used_;
  std::optional<instant> last_received_;
  duration idle_timeout_{};
};

/** "not_connected", "idle_closed", "unexpected_bytes", "lost" or "malformed". */
const char* ToString(http_client::end_reason reason);

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_HTTP_CLIENT_H_
