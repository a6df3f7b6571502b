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
 * A TCP connection on the loop: reads into a buffer shared by all connections and keeps what could
 * not be written yet. The handler may destroy the socket from within a call.
 */
class stream_socket : public io_watch::handler {
 public:
  class handler {
   public:
    virtual ~handler() = default;
    virtual void OnConnected() {}
    virtual void OnBytes(std::string_view bytes) = 0;
    /** The peer closed its side in an orderly way. */
    virtual void OnEnd() = 0;
    /** The connection failed; `error` is an errno value. */
    virtual void OnError(int error) = 0;
  };

  /** An accepted connection, or one that is being opened. */
  stream_socket(event_loop& loop, socket_handle handle, bool is_connecting, handler& target);
  ~stream_socket() override;

  /** Sends what fits at once and keeps the rest. */
  void Write(std::string_view bytes);
  /** Closes the sending side once all is sent; the peer's bytes are read on. */
  void EndWriting();
  void PauseReading(bool is_paused) { watch_.WantRead(!is_paused); }
  /** Closes with a reset. The handler is not called any more. */
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
  /** Set while a handler runs, to learn whether it destroyed this object. */
  bool* is_destroyed_ = nullptr;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_STREAM_SOCKET_H_
