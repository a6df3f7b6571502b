#include "net/event_loop.h"

#include <event2/event.h>

#include <algorithm>
#include <ctime>
#include <stdexcept>
#include <utility>

namespace limpetlever {

namespace {

// A wake-up that is later than this was delayed, by a busy or frozen host.
constexpr duration kLateWakeUp = std::chrono::milliseconds(20);
// libevent reports 32 events in the first of several passes and twice as many in each further one.
constexpr int kLatePasses = 4;

timeval ToTimeval(duration span) {
  const auto count = std::max<std::int64_t>(0, span.count());
  return {.tv_sec = static_cast<time_t>(count / 1'000'000),
          .tv_usec = static_cast<suseconds_t>(count % 1'000'000)};
}

}  // namespace

instant ReadBootClock() {
  // A suspended host's steady clock stands still, so that deadlines of callers would pass
  // unnoticed.
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return instant(std::chrono::duration_cast<duration>(std::chrono::seconds(time.tv_sec) +
                                                      std::chrono::nanoseconds(time.tv_nsec)));
}

wall_time ReadWallClock() {
  return std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
}

event_loop::event_loop(clock_function clock) : clock_(std::move(clock)) {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  base_ = event_base_new_with_config(config);
  event_config_free(config);
  if (base_ == nullptr) {
    throw std::runtime_error("libevent cannot create an event base");
  }
  wake_timer_ = event_new(
      base_, -1, 0, [](evutil_socket_t, short, void*) {}, nullptr);
  UpdateNow();
}

event_loop::~event_loop() {
  for (const auto& watch : signals_) {
    event_free(watch->handle);
  }
  event_free(wake_timer_);
  event_base_free(base_);
}

instant event_loop::UpdateNow() {
  const instant expected = std::max(now_, wake_due_);
  now_ = clock_();
  if (is_running_ && now_ - expected >= kMinPause) {
    last_pause_ = {.end = now_, .length = now_ - expected};
    if (on_pause_) {
      on_pause_(last_pause_.length);
    }
  }
  return now_;
}

void event_loop::ReportUnexpectedError(const char* what) {
  if (on_unexpected_error_) {
    on_unexpected_error_(what);
  }
}

void event_loop::OnSignal(int signal, std::function<void()> call) {
  auto watch = std::make_unique<signal_watch>();
  watch->loop = this;
  watch->call = std::move(call);
  watch->handle = event_new(
      base_, signal, EV_SIGNAL | EV_PERSIST,
      [](evutil_socket_t, short, void* data) {
        const auto* held = static_cast<signal_watch*>(data);
        held->loop->RunGuarded(held->call);
      },
      watch.get());
  event_add(watch->handle, nullptr);
  signals_.push_back(std::move(watch));
}

void event_loop::RunDeferred() {
  while (!deferred_.empty()) {
    const auto calls = std::exchange(deferred_, {});
    for (const auto& call : calls) {
      RunGuarded(call);
    }
  }
}

void event_loop::HandleEvents() {
  if (const auto due = timers_.NextDue()) {
    const timeval wait = ToTimeval(*due - now_);
    event_add(wake_timer_, &wait);
    wake_due_ = *due;
  }
  event_base_loop(base_, EVLOOP_ONCE);
}

void event_loop::HandleReadyEvents() {
  for (int pass = 0; pass < kLatePasses; ++pass) {
    // With EVLOOP_NONBLOCK alone the call does not return while any socket is ready.
    event_base_loop(base_, EVLOOP_NONBLOCK | EVLOOP_ONCE);
  }
}

void event_loop::Run() {
  is_running_ = true;
  while (is_running_) {
    UpdateNow();
    const bool is_late = wake_due_ != instant() && now_ - wake_due_ >= kLateWakeUp;
    wake_due_ = instant();
    if (is_late) {
      HandleReadyEvents();
    }
    RunGuarded([this] { timers_.Advance(now_); });
    RunDeferred();
    if (!is_running_) {
      break;
    }
    HandleEvents();
  }
}

}  // namespace limpetlever
