#ifndef TESTS_MEMORY_HOSTILE_CROWD_H_
#define TESTS_MEMORY_HOSTILE_CROWD_H_

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "net/socket.h"

namespace limpetlever {

/** Connections of callers that send bytes and stay open, without reading answers on their own. */
class hostile_crowd {
 public:
  hostile_crowd(const socket_address& address, std::size_t size) {
    // Answers fill the connections' buffers at the host, not those of the test.
    constexpr int kReceiveBytes = 4096;
    for (std::size_t i = 0; i < size; ++i) {
      members_.push_back({.handle = std::move(BeginConnect(address).value())});
      setsockopt(members_.back().handle.fd(), SOL_SOCKET, SO_RCVBUF, &kReceiveBytes,
                 sizeof(kReceiveBytes));
    }
  }

  /**
   * Sends `bytes` on each connection, `piece_bytes` at a time in turn, until they are sent, the
   * host has closed the connection, or no connection takes any more.
   */
  void Send(std::string_view bytes, std::size_t piece_bytes) {
    for (member& caller : members_) {
      caller.sent = 0;
    }
    int idle_rounds = 0;
    while (idle_rounds < kMaxIdleRounds) {
      bool is_complete = true;
      bool has_sent = false;
      for (member& caller : members_) {
        if (caller.is_closed || caller.sent == bytes.size()) {
          continue;
        }
        is_complete = false;
        const std::string_view piece = bytes.substr(caller.sent, piece_bytes);
        const ssize_t size =
            send(caller.handle.fd(), piece.data(), piece.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (size > 0) {
          caller.sent += static_cast<std::size_t>(size);
          has_sent = true;
        } else if (errno != EAGAIN && errno != ENOTCONN) {
          caller.is_closed = true;
        }
      }
      if (is_complete) {
        return;
      }
      idle_rounds = has_sent ? 0 : idle_rounds + 1;
      if (!has_sent) {
        std::this_thread::sleep_for(kIdleRound);
      }
    }
  }

  /** Reads a few bytes on each connection. */
  void ReadLittle() {
    std::array<char, 16> buffer;
    for (const member& caller : members_) {
      recv(caller.handle.fd(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    }
  }

 private:
  static constexpr int kMaxIdleRounds = 100;
  static constexpr std::chrono::milliseconds kIdleRound{20};
  struct member {
    socket_handle handle;
    std::size_t sent = 0;
    bool is_closed = false;
  };
  std::vector<member> members_;
};

}  // namespace limpetlever

#endif  // TESTS_MEMORY_HOSTILE_CROWD_H_
