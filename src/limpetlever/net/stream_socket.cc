#include "net/stream_socket.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "net/event_loop.h"

namespace limpetlever {

namespace {

bool IsTemporary(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

}  // namespace

stream_socket::stream_socket(event_loop& loop,
                             socket_handle handle,
                             bool is_connecting,
                             handler& target)
    : loop_(loop),
      handle_(std::move(handle)),
      watch_(loop, handle_.fd(), *this),
      handler_(target),
      is_connecting_(is_connecting) {
  if (is_connecting) {
    watch_.WantWrite(true);
  } else {
    watch_.WantRead(true);
  }
}

stream_socket::~stream_socket() {
  if (is_destroyed_ != nullptr) {
    *is_destroyed_ = true;
  }
  watch_.WantRead(false);
  watch_.WantWrite(false);
}

void stream_socket::Reset() {
  watch_.WantRead(false);
  watch_.WantWrite(false);
  handle_.Reset();
}

void stream_socket::OnReadable() {
  const auto buffer = loop_.read_buffer();
  const ssize_t size = recv(handle_.fd(), buffer.data(), buffer.size(), 0);
  if (size > 0) {
    handler_.OnBytes({buffer.data(), static_cast<std::size_t>(size)});
  } else if (size == 0) {
    watch_.WantRead(false);
    handler_.OnEnd();
  } else if (!IsTemporary(errno)) {
    const int error = errno;
    watch_.WantRead(false);
    handler_.OnError(error);
  }
}

void stream_socket::OnWritable() {
  if (is_connecting_) {
    const int error = ConnectError(handle_.fd());
    if (error != 0) {
      watch_.WantWrite(false);
      handler_.OnError(error);
      return;
    }
    is_connecting_ = false;
    watch_.WantRead(true);
    bool is_destroyed = false;
    is_destroyed_ = &is_destroyed;
    handler_.OnConnected();
    if (is_destroyed) {
      return;
    }
    is_destroyed_ = nullptr;
  }
  const std::string pending = std::exchange(unsent_, {});
  watch_.WantWrite(false);
  if (!pending.empty()) {
    Write(pending);
  }
  if (is_ending_ && unsent_.empty()) {
    shutdown(handle_.fd(), SHUT_WR);
  }
}

void stream_socket::EndWriting() {
  is_ending_ = true;
  if (unsent_.empty()) {
    shutdown(handle_.fd(), SHUT_WR);
  }
}

void stream_socket::Write(std::string_view bytes) {
  if (!unsent_.empty() || is_connecting_) {
    unsent_ += bytes;
    return;
  }
  while (!bytes.empty()) {
    const ssize_t size = send(handle_.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (size >= 0) {
      bytes.remove_prefix(static_cast<std::size_t>(size));
      continue;
    }
    if (errno == EINTR) {
      continue;
    }
    if (!IsTemporary(errno)) {
      // OnReadable reports the error, after the bytes that the peer sent before it.
      return;
    }
    unsent_ = bytes;
    watch_.WantWrite(true);
    return;
  }
}

}  // namespace limpetlever
