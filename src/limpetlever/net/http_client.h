#ifndef LIMPETLEVER_NET_HTTP_CLIENT_H_
#define LIMPETLEVER_NET_HTTP_CLIENT_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "base/socket_address.h"
#include "base/time_types.h"
#include "net/http_reader.h"
#include "net/stream_socket.h"

namespace limpetlever {

class event_loop;

/** One connection to an HTTP server, with at most one request under way. */
class http_client : public stream_socket::handler {
 public:
  /** How a connection ended. */
  enum class end_reason {
    not_connected,
    /** Closed by the peer while no request was under way. */
    idle_closed,
    /** Bytes arrived that belong to no request. */
    unexpected_bytes,
    /** Ended after the request was sent and before the whole answer came. */
    lost,
    /** The answer is not valid HTTP. */
    malformed
  };
  class handler {
   public:
    virtual ~handler() = default;
    virtual void OnConnected(http_client& client) = 0;
    /**
     * A whole answer. Returns false if it belongs to another request: then the next answer on the
     * connection is waited for.
     */
    virtual bool OnResponse(http_client& client, http_message& response) = 0;
    /** The connection has ended; the handler may destroy it. */
    virtual void OnEnded(http_client& client, end_reason reason) = 0;
  };

  /** Begins to connect. A failure is reported from the loop, never from the constructor. */
  http_client(event_loop& loop,
              const socket_address& address,
              std::size_t max_body_bytes,
              duration unacknowledged_limit,
              handler& target);

  /** Sends a whole request. Only when connected and not busy. */
  void Send(std::string_view request, bool is_head = false);

  bool IsConnected() const { return is_connected_; }
  bool IsBusy() const { return is_busy_; }
  /** Whether the server said that it closes the connection after this answer. */
  bool IsReusable() const { return is_reusable_; }
  instant last_used() const { return last_used_; }
  /** How long the server keeps an idle connection; zero if it does not say. */
  duration idle_limit() const { return idle_limit_; }

 private:
  void OnConnected() override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd() override;
  void OnError(int error) override;
  /** Returns false if this object no longer exists. */
  bool TakeResponse();
  void End(end_reason reason);

  event_loop& loop_;
  handler& handler_;
  http_reader reader_;
  stream_socket socket_;
  bool is_connected_ = false;
  bool is_busy_ = false;
  bool is_reusable_ = true;
  bool is_ended_ = false;
  instant last_used_;
  duration idle_limit_{};
};

/** "not_connected", "idle_closed", "unexpected_bytes", "lost" or "malformed". */
const char* ToString(http_client::end_reason reason);

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_HTTP_CLIENT_H_
