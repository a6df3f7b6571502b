#ifndef LIMPETLEVER_NET_SERVER_CONNECTION_H_
#define LIMPETLEVER_NET_SERVER_CONNECTION_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/time_types.h"
#include "net/http_reader.h"
#include "net/http_server.h"
#include "net/receive_memory.h"
#include "net/stream_socket.h"

namespace limpetlever {

/** A caller's connection. Its requests are handled one at a time, in the order of arrival. */
class server_connection : public stream_socket::handler,
                          public receive_memory::holder,
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
  void OnSent() override;
  void OnMemoryReclaimed() override;
  void Read(std::string_view bytes);
  /** Begins to handle the request that was read, or refuses it. */
  void BeginRequest();
  /** Keeps pipelined bytes, and pauses reading if they are many. */
  void Keep(std::string_view bytes);
  /** Whether the next request may be read: none is being handled, and the answers are sent. */
  bool MayRead() const;
  /** Reads the next request if it may be read. */
  void Continue();
  void Refuse(int status);
  /**
   * Ends the connection for the sake of others; no request of it is being handled. An incomplete
   * request is refused.
   */
  void GiveUp(http_server::give_up_cause cause);
  void Close();
  /** Tells the server what this connection holds that may be given up. May end this connection. */
  void HoldUnfinished();
  void ReleaseMemory();
  std::size_t UnfinishedBytes() const;
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
  /** Memory of the request that is being handled. */
  std::size_t open_bytes_ = 0;
  instant request_time_;
  /** When the last request was answered, or the connection was accepted. */
  instant last_request_;
  instant last_activity_;
  bool has_open_request_ = false;
  bool is_reading_ = false;
  bool is_open_ = true;
  bool closes_after_write_ = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_SERVER_CONNECTION_H_
