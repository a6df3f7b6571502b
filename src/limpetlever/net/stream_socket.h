#ifndef LIMPETLEVER_NET_STREAM_SOCKET_H_
#define LIMPETLEVER_NET_STREAM_SOCKET_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "net/io_watch.h"
#include "net/socket.h"

namespace limpetlever {

class event_loop;

/**
 * A TCP connection on the event loop. It reads into the loop's shared buffer and keeps bytes that
 * the kernel does not accept yet. The handler may destroy the socket from within a call.
 */
class stream_socket : public io_watch::handler {
 public:
  class handler {
   public:
    virtual ~handler() = default;
    virtual void OnConnected() {}
    /** `bytes` is valid until the call returns. */
    virtual void OnBytes(std::string_view bytes) = 0;
    /** The peer closed its sending side in an orderly way. */
    virtual void OnEnd() = 0;
    /** The connection failed; `error` is an errno value. */
    virtual void OnError(int error) = 0;
  };

  /** `handle` is an accepted connection, or one from BeginConnect if `is_connecting`. */
  stream_socket(event_loop& loop, socket_handle handle, bool is_connecting, handler& target);
  ~stream_socket() override;

  /** Sends what the kernel accepts at once and the rest when the socket becomes writable. */
  void Write(std::string_view bytes);
  /** Closes the sending side once everything is sent; the peer's bytes are still read. */
  void EndWriting();
  void PauseReading(bool is_paused) { watch_.WantRead(!is_paused); }
  /** Closes the connection with a TCP reset. The handler is not called any more. */
  void Reset();
  std::size_t unsent_bytes() const { return unsent_.size(); }
  int fd() const { return handle_.fd(); }

 private:
  void OnReadable() override;
  void OnWritable() override;

  event_loop& loop_;
  socket_handle handle_;
  io_watch watch_;
  handler& handler_;
  std::string unsent_;
  bool is_connecting_;
  bool is_ending_ = false;
  /** Set while OnConnected runs, to detect that the handler destroyed this object. */
  bool* is_destroyed_ = nullptr;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_STREAM_SOCKET_H_
