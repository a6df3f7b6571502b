#ifndef LIMPETLEVER_NET_SOCKET_H_
#define LIMPETLEVER_NET_SOCKET_H_

#include <utility>

#include "base/result.h"
#include "base/socket_address.h"
#include "base/time_types.h"

struct sockaddr_in;

namespace limpetlever {

/** Owns a file descriptor of a non-blocking socket. */
class socket_handle {
 public:
  socket_handle() = default;
  explicit socket_handle(int fd) : fd_(fd) {}
  socket_handle(socket_handle&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  socket_handle& operator=(socket_handle&& other) noexcept;
  ~socket_handle();

  int fd() const { return fd_; }
  bool is_open() const { return fd_ >= 0; }
  /** Closes with a reset, so that the peer stops work on what was sent at once. */
  void Reset();

 private:
  int fd_ = -1;
};

/** A listening TCP socket. */
result<socket_handle> Listen(const socket_address& address);
/** Begins to connect; the socket becomes writable when that has ended. */
result<socket_handle> BeginConnect(const socket_address& address);
/** The outcome of BeginConnect: 0 or an errno value. */
int ConnectError(int fd);
/** A bound UDP socket. */
result<socket_handle> BindDatagram(const socket_address& address);
/** The next connection of a listening socket; not open when there is none. */
socket_handle Accept(int listener_fd);
/** Ends the connection when sent bytes stay unacknowledged for so long. */
void SetUnacknowledgedLimit(int fd, duration limit);
/** Probes an idle connection, so that one that has gone silent ends within about 3 s. */
void SetKeepAliveProbes(int fd);

/** The address in the form of the project. */
socket_address FromSockaddr(const sockaddr_in& address);

/** The IP address of a connected peer; empty if the connection has ended. */
std::string PeerIp(int fd);

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_SOCKET_H_
