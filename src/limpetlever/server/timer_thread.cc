#include "server/timer_thread.h"

#include "transport/monotonic_clock.h"

namespace limpetlever {

namespace {

constexpr duration kMaxSleepTime = std::chrono::seconds(1);

}  // namespace

timer_thread::timer_thread() {
  timers_.SetWakeUpCallback([this] {
    const std::lock_guard lock(mutex_);
    is_woken_ = true;
    changed_.notify_all();
  });
  thread_ = std::thread([this] { Run(); });
}

timer_thread::~timer_thread() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void timer_thread::Run() {
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    is_woken_ = false;
    lock.unlock();
    timers_.Advance(MonotonicNow());
    const instant due = timers_.NextDue().value_or(MonotonicNow() + kMaxSleepTime);
    lock.lock();
    changed_.wait_until(lock, due, [this] { return is_woken_ || is_stopping_; });
  }
}

}  // namespace limpetlever
