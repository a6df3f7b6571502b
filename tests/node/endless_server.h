#ifndef TESTS_NODE_ENDLESS_SERVER_H_
#define TESTS_NODE_ENDLESS_SERVER_H_

#include <netinet/in.h>
#include <sys/socket.h>

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <utility>

#include "host_fixture.h"
#include "net/event_loop.h"
#include "net/stream_socket.h"

namespace limpetlever {

/**
 * A faulty backend server on a thread of its own: it answers each request with `first` and then
 * with `repeated` without end, on each connection at first as fast as the caller reads, until it
 * has sent `fast_bytes`, and a little at a time from then on.
 */
class endless_server {
 public:
  endless_server(std::string first, std::string_view repeated, std::size_t fast_bytes)
      : first_(std::move(first)), fast_bytes_(fast_bytes), address_(FreeAddress()) {
    while (piece_.size() < kPieceBytes) {
      piece_ += repeated;
    }
    thread_ = std::thread([this] { Run(); });
    while (!is_listening_) {
      std::this_thread::yield();
    }
  }
  ~endless_server() {
    is_stopping_ = true;
    thread_.join();
  }

  const socket_address& address() const { return address_; }

 private:
  static constexpr std::size_t kPieceBytes = 8 * 1024;

  class connection : public stream_socket::handler {
   public:
    connection(endless_server& server, event_loop& loop, socket_handle handle)
        : server_(server), socket_(loop, std::move(handle), false, *this) {}
    void OnBytes(std::string_view) override {
      if (!std::exchange(has_request_, true)) {
        socket_.Write(server_.first_);
      }
    }
    void OnEnd() override { is_closed_ = true; }
    void OnError(int) override { is_closed_ = true; }
    bool IsClosed() const { return is_closed_; }
    void SendMore() {
      if (!has_request_ || is_closed_ || socket_.unsent_bytes() > 0) {
        return;
      }
      const bool is_fast = sent_ < server_.fast_bytes_;
      const std::string_view bytes =
          std::string_view(server_.piece_).substr(0, is_fast ? kPieceBytes : 1);
      socket_.Write(bytes);
      sent_ += bytes.size();
    }

   private:
    endless_server& server_;
    stream_socket socket_;
    std::size_t sent_ = 0;
    bool has_request_ = false;
    bool is_closed_ = false;
  };

  class acceptor : public io_watch::handler {
   public:
    acceptor(endless_server& server, event_loop& loop)
        : server_(server),
          loop_(loop),
          listener_(std::move(Listen(server.address_).value())),
          watch_(loop, listener_.fd(), *this) {
      watch_.WantRead(true);
    }
    void OnReadable() override {
      if (auto handle = Accept(listener_.fd()); handle.is_open()) {
        connections_.push_back(std::make_unique<connection>(server_, loop_, std::move(handle)));
      }
    }
    void OnWritable() override {}
    void SendMore() {
      std::erase_if(connections_, [](const auto& item) { return item->IsClosed(); });
      for (const auto& item : connections_) {
        item->SendMore();
      }
    }

   private:
    endless_server& server_;
    event_loop& loop_;
    socket_handle listener_;
    io_watch watch_;
    std::vector<std::unique_ptr<connection>> connections_;
  };

  void Run() {
    event_loop loop;
    acceptor accepts(*this, loop);
    is_listening_ = true;
    loop.timers().SubscribeEvery(loop.Now(), std::chrono::milliseconds(2), [&](instant) {
      accepts.SendMore();
      if (is_stopping_) {
        loop.Stop();
      }
    });
    loop.Run();
  }

  const std::string first_;
  std::string piece_;
  const std::size_t fast_bytes_;
  const socket_address address_;
  std::atomic<bool> is_listening_ = false;
  std::atomic<bool> is_stopping_ = false;
  std::thread thread_;
};

}  // namespace limpetlever

#endif  // TESTS_NODE_ENDLESS_SERVER_H_
