#ifndef LIMPETLEVER_NET_EVENT_LOOP_H_
#define LIMPETLEVER_NET_EVENT_LOOP_H_

#include <array>
#include <cstddef>
#include <exception>
#include <functional>
#include <memory>
#include <span>
#include <utility>
#include <vector>

#include "base/time_types.h"
#include "timer/timer_service.h"

struct event;
struct event_base;

namespace limpetlever {

/** Time since the host started, including the time for which it was suspended. */
instant ReadBootClock();
/** The time of day. It may jump, and differs between hosts. */
wall_time ReadWallClock();

/**
 * The event loop of a process's only thread: socket events from libevent, timers from
 * timer_service. Not thread-safe.
 */
class event_loop {
 public:
  using clock_function = std::function<instant()>;

  explicit event_loop(clock_function clock = ReadBootClock);
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  /** Runs until Stop is called. */
  void Run();
  /** Makes Run return after the current batch of work. */
  void Stop() { is_running_ = false; }

  /**
   * The time of the last UpdateNow. The loop calls it at each wake-up and before each event
   * handler.
   */
  instant Now() const { return now_; }
  /** Reads the clock, for measurements within a batch of work. */
  instant UpdateNow();
  timer_service& timers() { return timers_; }
  event_base* base() { return base_; }
  /**
   * A read buffer shared by all sockets, which are read one at a time. Valid within one handler
   * call.
   */
  std::span<char> read_buffer() { return read_buffer_; }

  /** Calls `call` on the loop when the process receives `signal`. */
  void OnSignal(int signal, std::function<void()> call);
  /**
   * Sets the function to call, before any other work, when the process was paused or delayed for
   * kMinPause or longer; `pause` is the time by which it is late.
   */
  void OnPause(std::function<void(duration pause)> call) { on_pause_ = std::move(call); }
  static constexpr duration kMinPause = std::chrono::seconds(2);
  /** End and length of the last such pause. */
  struct pause_span {
    instant end;
    duration length{};
  };
  const pause_span& last_pause() const { return last_pause_; }
  /**
   * Sets the function to call when a handler, timer or deferred call ends with an exception. The
   * loop goes on: one message must not end the process.
   */
  void OnUnexpectedError(std::function<void(const char* what)> call) {
    on_unexpected_error_ = std::move(call);
  }
  /** Runs `call` and reports an exception that it throws. */
  template <typename Call>
  void RunGuarded(const Call& call) {
    try {
      call();
    } catch (const std::exception& error) {
      ReportUnexpectedError(error.what());
    }
  }

  /** Runs `call` after the current batch of work, before the loop waits again. */
  void Defer(std::function<void()> call) { deferred_.push_back(std::move(call)); }

 private:
  // Larger than the answers of shards; a longer message takes several reads.
  static constexpr std::size_t kReadBytes = 16 * 1024;
  struct signal_watch {
    event_loop* loop = nullptr;
    event* handle = nullptr;
    std::function<void()> call;
  };
  void RunDeferred();
  /**
   * Handles the events of sockets that are ready. After a delay these go before the timers, so that
   * an answer that has arrived is not given up at its time limit.
   */
  void HandleReadyEvents();
  /** Waits for events until the next timer is due, and handles them. */
  void HandleEvents();
  void ReportUnexpectedError(const char* what);

  const clock_function clock_;
  event_base* base_ = nullptr;
  event* wake_timer_ = nullptr;
  timer_service timers_;
  std::vector<std::unique_ptr<signal_watch>> signals_;
  std::vector<std::function<void()>> deferred_;
  std::array<char, kReadBytes> read_buffer_;
  instant now_;
  /** When the loop wants to run again at the latest; in the past while it handles events. */
  instant wake_due_;
  pause_span last_pause_;
  std::function<void(duration)> on_pause_;
  std::function<void(const char*)> on_unexpected_error_;
  bool is_running_ = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_EVENT_LOOP_H_
