#ifndef LIMPETLEVER_NET_STREAM_SOCKET_H_
#define LIMPETLEVER_NET_STREAM_SOCKET_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/time_types.h"
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
    /** The kernel has accepted everything, after some bytes had to wait. */
    virtual void OnSent() {}
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
  /** As Write of `head` and `body`; a large body that cannot be sent at once is not copied. */
  void Write(std::string head, std::shared_ptr<const std::string> body);
  /** Closes the sending side once everything is sent; the peer's bytes are still read. */
  void EndWriting();
  void PauseReading(bool is_paused) { watch_.WantRead(!is_paused); }
  /** Closes the connection with a TCP reset. The handler is not called any more. */
  void Reset();
  std::size_t unsent_bytes() const;
  /** When the kernel last accepted bytes that had to wait. */
  instant last_sent() const { return last_sent_; }
  int fd() const { return handle_.fd(); }

 private:
  void OnReadable() override;
  void OnWritable() override;
  /** Sends until the kernel accepts no more; returns the number of bytes that need no sending. */
  std::size_t SendSome(std::string_view bytes);
  void SendUnsent();

  event_loop& loop_;
  socket_handle handle_;
  io_watch watch_;
  handler& handler_;
  /** Bytes that wait for the kernel; those before `unsent_at_` were sent. */
  std::string unsent_;
  std::size_t unsent_at_ = 0;
  /** A body that follows `unsent_`; nullptr: none. */
  std::shared_ptr<const std::string> unsent_body_;
  std::size_t unsent_body_at_ = 0;
  instant last_sent_;
  bool is_connecting_;
  bool is_ending_ = false;
  /** Set while OnConnected runs, to detect that the handler destroyed this object. */
  bool* is_destroyed_ = nullptr;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_STREAM_SOCKET_H_
