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

/** A caller's connection. Requests are taken one at a time, in the order in which they arrive. */
class server_connection : public stream_socket::handler,
                          public std::enable_shared_from_this<server_connection> {
 public:
  server_connection(http_server& server, socket_handle handle);

  /** The request that waits for its answer. */
  http_message& request() { return reader_.message(); }
  /** The caller's address, without the port. */
  const std::string& peer_ip();
  /** When the last byte of the request was read. */
  instant request_time() const { return request_time_; }
  /**
   * Sends a whole response, written without its Connection field and empty line: `head` holds the
   * status line and fields. Does nothing if the caller has left.
   */
  void Answer(std::string_view head, std::string_view body, bool is_last = false);
  /** Ends the connection with a reset and without an answer. */
  void Abort();
  /** Called once if the caller leaves before the answer. */
  void OnCallerLeft(std::function<void()> call) { on_caller_left_ = std::move(call); }

  bool IsWaiting() const { return is_waiting_; }
  bool IsOpen() const { return is_open_; }

 private:
  friend class http_server;
  void OnBytes(std::string_view bytes) override;
  void OnEnd() override;
  void OnError(int error) override;
  void Read(std::string_view bytes);
  void Refuse(int status);
  void Close();
  /** Whether it has been idle, or has taken long over a header, since before the limits. */
  bool IsOverdue(instant now) const;

  http_server& server_;
  stream_socket socket_;
  http_reader reader_;
  /** Bytes of later requests, read while one waits for its answer. */
  std::string pending_;
  /** Empty until it is asked for. */
  std::string peer_ip_;
  std::function<void()> on_caller_left_;
  instant request_time_;
  instant last_activity_;
  bool is_waiting_ = false;
  bool is_reading_ = false;
  bool is_open_ = true;
  bool closes_after_write_ = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_SERVER_CONNECTION_H_
