#include "net/socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <string>

namespace limpetlever {

namespace {

// A full accept queue drops the SYN packet, which the peer sends again only after a second.
constexpr int kBacklog = 512;
// Keep-alive must detect a connection to an unreachable peer before the 4 s after which a host
// counts as undisturbed.
constexpr int kKeepAliveProbeSeconds = 1;
constexpr int kKeepAliveProbeCount = 2;

result<sockaddr_in> ToSockaddr(const socket_address& address) {
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr) != 1) {
    return failure{std::make_error_code(std::errc::invalid_argument),
                   "\"" + address.ip + "\" is not an IPv4 address"};
  }
  return target;
}

failure SystemFailure(const std::string& what, const socket_address& address) {
  const int error = errno;
  return {
      std::error_code(error, std::system_category()),
      what + " " + address.ip + ":" + std::to_string(address.port) + ": " + std::strerror(error)};
}

void SetOption(int fd, int level, int option, int value) {
  setsockopt(fd, level, option, &value, sizeof(value));
}

}  // namespace

socket_handle& socket_handle::operator=(socket_handle&& other) noexcept {
  if (this != &other) {
    if (fd_ >= 0) {
      close(fd_);
    }
    fd_ = std::exchange(other.fd_, -1);
  }
  return *this;
}

socket_handle::~socket_handle() {
  if (fd_ >= 0) {
    close(fd_);
  }
}

void socket_handle::Reset() {
  if (fd_ >= 0) {
    const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
    close(std::exchange(fd_, -1));
  }
}

result<socket_handle> Listen(const socket_address& address) {
  const auto target = ToSockaddr(address);
  if (!target) {
    return target.error();
  }
  socket_handle handle(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  SetOption(handle.fd(), SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind(handle.fd(), reinterpret_cast<const sockaddr*>(&*target), sizeof(*target)) != 0 ||
      listen(handle.fd(), kBacklog) != 0) {
    return SystemFailure("cannot listen on", address);
  }
  return handle;
}

result<socket_handle> BeginConnect(const socket_address& address) {
  const auto target = ToSockaddr(address);
  if (!target) {
    return target.error();
  }
  socket_handle handle(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!handle.is_open()) {
    return SystemFailure("cannot open a socket to", address);
  }
  // Requests are small and written in one piece; Nagle's algorithm would delay them by up to 40 ms
  // to wait for an acknowledgement.
  SetOption(handle.fd(), IPPROTO_TCP, TCP_NODELAY, 1);
  if (connect(handle.fd(), reinterpret_cast<const sockaddr*>(&*target), sizeof(*target)) != 0 &&
      errno != EINPROGRESS) {
    return SystemFailure("cannot connect to", address);
  }
  return handle;
}

int ConnectError(int fd) {
  int error = 0;
  socklen_t size = sizeof(error);
  if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
    return errno;
  }
  return error;
}

result<socket_handle> BindDatagram(const socket_address& address) {
  const auto target = ToSockaddr(address);
  if (!target) {
    return target.error();
  }
  socket_handle handle(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (bind(handle.fd(), reinterpret_cast<const sockaddr*>(&*target), sizeof(*target)) != 0) {
    return SystemFailure("cannot bind", address);
  }
  return handle;
}

socket_handle Accept(int listener_fd) {
  socket_handle handle(accept4(listener_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (handle.is_open()) {
    SetOption(handle.fd(), IPPROTO_TCP, TCP_NODELAY, 1);
  }
  return handle;
}

void LimitBuffers(int listener_fd, int receive_bytes, int unsent_bytes) {
  SetOption(listener_fd, SOL_SOCKET, SO_RCVBUF, receive_bytes);
  SetOption(listener_fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, unsent_bytes);
}

void SetUnacknowledgedTimeout(int fd, duration timeout) {
  SetOption(
      fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
      static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count()));
}

void SetKeepAliveProbes(int fd) {
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveProbeSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveProbeSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbeCount);
}

socket_address FromSockaddr(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> ip{};
  inet_ntop(AF_INET, &address.sin_addr, ip.data(), ip.size());
  return {.ip = ip.data(), .port = ntohs(address.sin_port)};
}

std::string PeerIp(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  const bool is_known = getpeername(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  return is_known ? FromSockaddr(address).ip : std::string();
}

}  // namespace limpetlever
