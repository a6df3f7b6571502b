#include <criterion/criterion.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "net/io_watch.h"

using namespace limpetlever;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Throws when its socket becomes readable, after reading from it. */
class throwing_handler : public io_watch::handler {
 public:
  explicit throwing_handler(int fd) : fd_(fd) {}
  void OnReadable() override {
    std::array<char, 16> bytes{};
    ++reads;
    if (read(fd_, bytes.data(), bytes.size()) > 0) {
      throw std::out_of_range("odd message");
    }
  }
  void OnWritable() override {}
  int reads = 0;

 private:
  const int fd_;
};

/** Leaves what it could read, so that its socket stays readable, up to a number of calls. */
class busy_handler : public io_watch::handler {
 public:
  busy_handler(int max_calls, std::function<void()> on_last)
      : max_calls_(max_calls), on_last_(std::move(on_last)) {}
  void OnReadable() override {
    if (++calls == max_calls_) {
      on_last_();
    }
  }
  void OnWritable() override {}
  int calls = 0;

 private:
  const int max_calls_;
  const std::function<void()> on_last_;
};

}  // namespace

// Guards against a process that ends because the handling of one message, timer or deferred call
// throws an exception.
Test(event_loop, goes_on_after_an_unexpected_error) {
  std::array<int, 2> ends{};
  cr_assert(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
  event_loop loop;
  std::vector<std::string> errors;
  loop.OnUnexpectedError([&errors](const char* what) { errors.emplace_back(what); });
  throwing_handler handler(ends[0]);
  io_watch watch(loop, ends[0], handler);
  watch.WantRead(true);
  cr_assert(write(ends[1], "x", 1) == 1);
  loop.Defer([] { throw std::runtime_error("deferred"); });
  bool has_run = false;
  loop.timers().Subscribe(loop.Now(), [](instant) { throw std::runtime_error("timer"); });
  loop.timers().Subscribe(loop.Now() + milliseconds(50), [&](instant) {
    has_run = true;
    loop.Stop();
  });
  loop.Run();
  cr_assert(has_run && handler.reads == 1);
  cr_assert(errors.size() == 3);
  watch.WantRead(false);
  close(ends[0]);
  close(ends[1]);
}

// Guards against a pause of the process or a suspension of its host that goes unnoticed, and
// against an idle wait that is taken for one.
Test(event_loop, notices_that_it_was_paused) {
  duration offset{};
  event_loop loop([&offset] { return ReadBootClock() + offset; });
  std::vector<duration> pauses;
  loop.OnPause([&pauses](duration pause) { pauses.push_back(pause); });
  bool was_told_first = false;
  loop.timers().Subscribe(loop.Now() + milliseconds(20), [&](instant) { offset += seconds(7); });
  loop.timers().Subscribe(loop.Now() + milliseconds(40), [&](instant) {
    was_told_first = !pauses.empty();
    loop.Stop();
  });
  loop.Run();
  cr_assert(pauses.size() == 1 && was_told_first);
  cr_assert(pauses[0] > seconds(6) && pauses[0] < seconds(8));
  cr_assert(loop.last_pause().length == pauses[0]);
}

// Guards against a loop whose timers never run again after a delay, since some socket is ready at
// each moment, as under load.
Test(event_loop, runs_timers_after_a_delay_although_a_socket_is_always_ready) {
  constexpr int kMaxCalls = 10'000;
  std::array<int, 2> ends{};
  cr_assert(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends.data()) == 0);
  duration offset{};
  event_loop loop([&offset] { return ReadBootClock() + offset; });
  busy_handler handler(kMaxCalls, [&] {
    std::array<char, 1> byte{};
    cr_assert(read(ends[0], byte.data(), byte.size()) == 1);
    loop.Stop();
  });
  io_watch watch(loop, ends[0], handler);
  cr_assert(write(ends[1], "x", 1) == 1);
  bool has_run = false;
  // The first timer delays the loop, so that the second one is late. The socket is ready from then
  // on: the number of calls does not depend on the time until the first timer.
  loop.timers().Subscribe(loop.Now() + milliseconds(20), [&](instant) {
    watch.WantRead(true);
    offset += seconds(1);
  });
  loop.timers().Subscribe(loop.Now() + milliseconds(40), [&](instant) {
    has_run = true;
    loop.Stop();
  });
  loop.Run();
  cr_assert(has_run && handler.calls < kMaxCalls, "no timer ran in %d calls", handler.calls);
  watch.WantRead(false);
  close(ends[0]);
  close(ends[1]);
}
