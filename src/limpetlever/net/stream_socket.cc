#include "net/stream_socket.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "net/event_loop.h"

namespace limpetlever {

namespace {

// Smaller bodies are sent together with the head, in one system call.
constexpr std::size_t kMaxCopiedBytes = 4 * 1024;

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
  unsent_ = {};
  unsent_at_ = 0;
  unsent_body_ = nullptr;
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
  const bool had_unsent = unsent_bytes() > 0;
  SendUnsent();
  const bool has_unsent = unsent_bytes() > 0;
  watch_.WantWrite(has_unsent);
  if (is_ending_ && !has_unsent) {
    shutdown(handle_.fd(), SHUT_WR);
  }
  if (had_unsent && !has_unsent) {
    handler_.OnSent();
  }
}

void stream_socket::EndWriting() {
  is_ending_ = true;
  if (unsent_bytes() == 0) {
    shutdown(handle_.fd(), SHUT_WR);
  }
}

std::size_t stream_socket::unsent_bytes() const {
  const std::size_t of_body = unsent_body_ ? unsent_body_->size() - unsent_body_at_ : 0;
  return unsent_.size() - unsent_at_ + of_body;
}

void stream_socket::Write(std::string_view bytes) {
  if (unsent_bytes() > 0 || is_connecting_) {
    if (unsent_body_) {
      unsent_.append(*unsent_body_, unsent_body_at_);
      unsent_body_ = nullptr;
    }
    unsent_ += bytes;
    return;
  }
  const std::size_t sent = SendSome(bytes);
  if (sent < bytes.size()) {
    unsent_ = bytes.substr(sent);
    watch_.WantWrite(true);
  }
}

void stream_socket::Write(std::string head, std::shared_ptr<const std::string> body) {
  if (body == nullptr || body->size() <= kMaxCopiedBytes) {
    if (body != nullptr) {
      head += *body;
    }
    Write(head);
    return;
  }
  Write(head);
  unsent_body_ = std::move(body);
  unsent_body_at_ = 0;
  if (!is_connecting_) {
    if (unsent_.empty()) {
      SendUnsent();
    }
    watch_.WantWrite(unsent_bytes() > 0);
  }
}

void stream_socket::SendUnsent() {
  const std::size_t before = unsent_bytes();
  if (!unsent_.empty()) {
    unsent_at_ += SendSome(std::string_view(unsent_).substr(unsent_at_));
    if (unsent_at_ == unsent_.size()) {
      unsent_ = {};
      unsent_at_ = 0;
    } else if (unsent_at_ > unsent_.size() / 2) {
      unsent_.erase(0, unsent_at_);
      unsent_.shrink_to_fit();
      unsent_at_ = 0;
    }
  }
  if (unsent_.empty() && unsent_body_) {
    unsent_body_at_ += SendSome(std::string_view(*unsent_body_).substr(unsent_body_at_));
    if (unsent_body_at_ == unsent_body_->size()) {
      unsent_body_ = nullptr;
    }
  }
  if (unsent_bytes() < before) {
    last_sent_ = loop_.Now();
  }
}

std::size_t stream_socket::SendSome(std::string_view bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size = send(handle_.fd(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (size >= 0) {
      sent += static_cast<std::size_t>(size);
    } else if (errno != EINTR) {
      // OnReadable reports an error, after the bytes that the peer sent before it.
      return IsTemporary(errno) ? sent : bytes.size();
    }
  }
  return sent;
}

}  // namespace limpetlever
