#ifndef LIMPETLEVER_NET_EVENT_LOOP_H_
#define LIMPETLEVER_NET_EVENT_LOOP_H_

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "base/time_types.h"
#include "timer/timer_service.h"

struct event;
struct event_base;

namespace limpetlever {

/**
 * The event loop of a process's only thread: socket events from libevent, timers from
 * timer_service. Not thread-safe.
 */
class event_loop {
 public:
  event_loop();
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
  /** Runs `call` after the current batch of work, before the loop waits again. */
  void Defer(std::function<void()> call) { deferred_.push_back(std::move(call)); }

 private:
  // Larger than the answers of shards; a longer message takes several reads.
  static constexpr std::size_t kReadBytes = 16 * 1024;
  struct signal_watch {
    event* handle = nullptr;
    std::function<void()> call;
  };
  void RunDeferred();

  event_base* base_ = nullptr;
  event* wake_timer_ = nullptr;
  timer_service timers_;
  std::vector<std::unique_ptr<signal_watch>> signals_;
  std::vector<std::function<void()>> deferred_;
  std::array<char, kReadBytes> read_buffer_;
  instant now_;
  bool is_running_ = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_EVENT_LOOP_H_
