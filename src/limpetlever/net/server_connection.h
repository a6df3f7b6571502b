#ifndef LIMPETLEVER_NET_SERVER_CONNECTION_H_
#define LIMPETLEVER_NET_SERVER_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/time_types.h"
#include "net/http_reader.h"
#include "net/stream_socket.h"

namespace limpetlever {

class http_server;

/** A caller's connection. Its requests are handled one at a time, in the order of arrival. */
class server_connection : public stream_socket::handler,
                          public std::enable_shared_from_this<server_connection> {
 public:
  server_connection(http_server& server, socket_handle handle);

  /** The request being handled. Valid until Answer is called. */
  http_message& request() { return reader_.message(); }
  /** The caller's IP address. */
  const std::string& peer_ip();
  /** When the last byte of the request was read. */
  instant request_time() const { return request_time_; }
  /**
   * Sends the response. `head` holds the status line and header fields, without Connection,
   * Content-Length and the empty line. Closes the connection afterwards if `is_last`. Does nothing
   * if the caller has left.
   */
  void Answer(std::string_view head, std::string_view body, bool is_last = false);
  /** Closes the connection with a TCP reset, without an answer. */
  void Abort();
  /** Sets the function to call, once, if the caller closes the connection before the answer. */
  void OnCallerDisconnected(std::function<void()> call) {
    on_caller_disconnected_ = std::move(call);
  }

  /** Whether a request is not answered yet. */
  bool HasOpenRequest() const { return has_open_request_; }
  bool IsOpen() const { return is_open_; }

 private:
  friend class http_server;
  void OnBytes(std::string_view bytes) override;
  void OnEnd() override;
  void OnError(int error) override;
  void Read(std::string_view bytes);
  void Refuse(int status);
  void Close();
  /**
   * Whether it has exceeded the idle or header timeout, or that for closing after the last answer.
   */
  bool HasTimedOut(instant now) const;

  http_server& server_;
  stream_socket socket_;
  http_reader reader_;
  /** Bytes of pipelined requests, read while another one is being handled. */
  std::string pending_;
  /** Empty until the first call of peer_ip(). */
  std::string peer_ip_;
  std::function<void()> on_caller_disconnected_;
  instant request_time_;
  instant last_activity_;
  bool has_open_request_ = false;
  bool is_reading_ = false;
  bool is_open_ = true;
  bool closes_after_write_ = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_SERVER_CONNECTION_H_
