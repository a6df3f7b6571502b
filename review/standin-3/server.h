#ifndef REVIEW_STANDIN_3_SERVER_H_
#define REVIEW_STANDIN_3_SERVER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include "http.h"

namespace review {

/**
 * An HTTP server with one thread for each connection. The function answers one request and returns
 * whether the connection goes on. Stop() closes the listener and all connections, as the end of a
 * process does.
 */
class server {
 public:
  using function = std::function<bool(connection&, message&)>;

  explicit server(function handle) : state_(std::make_shared<state>()) {
    state_->handle = std::move(handle);
  }
  ~server() { Stop(); }

  bool Start(const endpoint& at) {
    const int fd = ListenOn(at);
    if (fd < 0) {
      return false;
    }
    const std::lock_guard lock(state_->mutex);
    const int generation = ++state_->generation;
    state_->listener = fd;
    std::thread([held = state_, fd, generation] { Accept(held, fd, generation); }).detach();
    return true;
  }

  void Stop() {
    const std::lock_guard lock(state_->mutex);
    ++state_->generation;
    if (state_->listener >= 0) {
      shutdown(state_->listener, SHUT_RDWR);
      state_->listener = -1;
    }
    for (const int fd : state_->open) {
      shutdown(fd, SHUT_RDWR);
    }
    state_->open.clear();
  }

 private:
  struct state {
    function handle;
    std::mutex mutex;
    std::set<int> open;
    int listener = -1;
    int generation = 0;
  };

  static void Accept(const std::shared_ptr<state>& held, int listener, int generation) {
    for (;;) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        break;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::lock_guard lock(held->mutex);
      if (held->generation != generation) {
        close(fd);
        break;
      }
      held->open.insert(fd);
      std::thread([held, fd] { Serve(held, fd); }).detach();
    }
    close(listener);
  }

  static void Serve(const std::shared_ptr<state>& held, int fd) {
    connection caller(fd);
    message request;
    while (caller.Read(request, NowMs() + 3'600'000)) {
      if (!held->handle(caller, request)) {
        break;
      }
    }
    const std::lock_guard lock(held->mutex);
    held->open.erase(fd);
    caller.Close();
  }

  std::shared_ptr<state> state_;
};

}  // namespace review

#endif  // REVIEW_STANDIN_3_SERVER_H_
