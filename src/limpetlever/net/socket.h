#ifndef LIMPETLEVER_NET_SOCKET_H_
#define LIMPETLEVER_NET_SOCKET_H_

#include <utility>

#include "base/result.h"
#include "base/socket_address.h"
#include "base/time_types.h"

struct sockaddr_in;

namespace limpetlever {

/** Owns the file descriptor of a non-blocking socket; closes it on destruction. */
class socket_handle {
 public:
  socket_handle() = default;
  explicit socket_handle(int fd) : fd_(fd) {}
  socket_handle(socket_handle&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  socket_handle& operator=(socket_handle&& other) noexcept;
  ~socket_handle();

  int fd() const { return fd_; }
  bool is_open() const { return fd_ >= 0; }
  /** Closes with a TCP reset, so that the peer stops at once working on what was sent. */
  void Reset();

 private:
  int fd_ = -1;
};

/** Opens a listening TCP socket. */
result<socket_handle> Listen(const socket_address& address);
/** Begins to connect; the socket becomes writable when the connection is open or has failed. */
result<socket_handle> BeginConnect(const socket_address& address);
/** The outcome of BeginConnect: 0 or an errno value. */
int ConnectError(int fd);
/** Opens a UDP socket bound to `address`. */
result<socket_handle> BindDatagram(const socket_address& address);
/** Accepts the next connection of a listening socket; the handle is not open if there is none. */
socket_handle Accept(int listener_fd);
/**
 * Limits what the kernel holds for each connection that a listening socket accepts: bytes that are
 * not read yet, and bytes that are not sent yet.
 */
void LimitBuffers(int listener_fd, int receive_bytes, int unsent_bytes);
/** Sets TCP_USER_TIMEOUT: the connection fails when sent bytes stay unacknowledged for so long. */
void SetUnacknowledgedTimeout(int fd, duration timeout);
/**
 * Enables TCP keep-alive, so that an idle connection to an unreachable peer fails after about 3 s.
 */
void SetKeepAliveProbes(int fd);

socket_address FromSockaddr(const sockaddr_in& address);

/** The IP address of a connected peer; empty if the connection has ended. */
std::string PeerIp(int fd);

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_SOCKET_H_
