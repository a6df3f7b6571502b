#ifndef TESTS_PLATFORM_SLOW_LINK_H_
#define TESTS_PLATFORM_SLOW_LINK_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "net/io_watch.h"
#include "net/socket.h"
#include "net/stream_socket.h"

namespace limpetlever {

/** A TCP forwarder on loopback that limits the bytes per second from its target to its callers. */
class slow_link : public io_watch::handler {
 public:
  slow_link(event_loop& loop, socket_address target, std::size_t bytes_per_s)
      : loop_(loop),
        target_(std::move(target)),
        bytes_per_period_(bytes_per_s * kPeriod.count() /
                          duration(std::chrono::seconds(1)).count()),
        listener_(std::move(Listen({.ip = "127.0.0.1", .port = 0}).value())),
        watch_(loop, listener_.fd(), *this) {
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(listener_.fd(), reinterpret_cast<sockaddr*>(&bound), &size);
    address_ = {.ip = "127.0.0.1", .port = ntohs(bound.sin_port)};
    watch_.WantRead(true);
    timer_ = loop_.timers().SubscribeEvery(loop_.Now(), kPeriod, [this](instant) { Forward(); });
  }
  ~slow_link() override { loop_.timers().Cancel(timer_); }

  const socket_address& address() const { return address_; }
  /** From now on `text` in the answers, which must arrive in one piece, is replaced. */
  void ReplaceInAnswers(std::string text, std::string by) {
    replaced_ = std::move(text);
    replacement_ = std::move(by);
  }
  /** Bytes passed on to callers. */
  std::size_t forwarded() const { return forwarded_; }
  /** Bytes that wait to be passed on. */
  std::size_t held() const {
    std::size_t size = 0;
    for (const auto& item : pairs_) {
      size += item->held.size();
    }
    return size;
  }

 private:
  static constexpr duration kPeriod = std::chrono::milliseconds(10);

  struct connection_pair {
    struct side : stream_socket::handler {
      void OnConnected() override {}
      void OnBytes(std::string_view bytes) override { on_bytes(bytes); }
      void OnEnd() override { pair->is_ended = true; }
      void OnError(int) override { pair->is_ended = true; }
      connection_pair* pair = nullptr;
      std::function<void(std::string_view)> on_bytes;
    };
    side from_caller;
    side from_target;
    std::unique_ptr<stream_socket> caller;
    std::unique_ptr<stream_socket> target;
    std::string held;
    bool is_ended = false;
  };

  void OnReadable() override {
    socket_handle accepted = Accept(listener_.fd());
    if (!accepted.is_open()) {
      return;
    }
    auto pair = std::make_unique<connection_pair>();
    pair->from_caller.pair = pair->from_target.pair = pair.get();
    pair->from_caller.on_bytes = [raw = pair.get()](std::string_view bytes) {
      raw->target->Write(bytes);
    };
    pair->from_target.on_bytes = [this, raw = pair.get()](std::string_view bytes) {
      std::string passed(bytes);
      const std::size_t at = replaced_.empty() ? passed.npos : passed.find(replaced_);
      raw->held += at == passed.npos ? passed : passed.replace(at, replaced_.size(), replacement_);
    };
    pair->caller =
        std::make_unique<stream_socket>(loop_, std::move(accepted), false, pair->from_caller);
    pair->target = std::make_unique<stream_socket>(loop_, std::move(BeginConnect(target_).value()),
                                                   true, pair->from_target);
    pairs_.push_back(std::move(pair));
  }
  void OnWritable() override {}

  void Forward() {
    for (const auto& item : pairs_) {
      const std::size_t size = std::min(item->held.size(), bytes_per_period_);
      if (size > 0 && !item->is_ended) {
        item->caller->Write(std::string_view(item->held).substr(0, size));
        item->held.erase(0, size);
        forwarded_ += size;
      }
    }
    std::erase_if(pairs_, [](const auto& item) { return item->is_ended; });
  }

  event_loop& loop_;
  const socket_address target_;
  const std::size_t bytes_per_period_;
  socket_handle listener_;
  io_watch watch_;
  socket_address address_;
  std::vector<std::unique_ptr<connection_pair>> pairs_;
  std::size_t forwarded_ = 0;
  std::string replaced_;
  std::string replacement_;
  timer_service::timer_id timer_ = 0;
};

}  // namespace limpetlever

#endif  // TESTS_PLATFORM_SLOW_LINK_H_
