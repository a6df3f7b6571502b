#include "net/event_loop.h"

#include <event2/event.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace limpetlever {

namespace {

timeval ToTimeval(duration span) {
  const auto count = std::max<std::int64_t>(0, span.count());
  return {.tv_sec = static_cast<time_t>(count / 1'000'000),
          .tv_usec = static_cast<suseconds_t>(count % 1'000'000)};
}

}  // namespace

event_loop::event_loop() {
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
  now_ = std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
  return now_;
}

void event_loop::OnSignal(int signal, std::function<void()> call) {
  auto watch = std::make_unique<signal_watch>();
  watch->call = std::move(call);
  watch->handle = event_new(
      base_, signal, EV_SIGNAL | EV_PERSIST,
      [](evutil_socket_t, short, void* data) { static_cast<signal_watch*>(data)->call(); },
      watch.get());
  event_add(watch->handle, nullptr);
  signals_.push_back(std::move(watch));
}

void event_loop::RunDeferred() {
  while (!deferred_.empty()) {
    const auto calls = std::exchange(deferred_, {});
    for (const auto& call : calls) {
      call();
    }
  }
}

void event_loop::Run() {
  is_running_ = true;
  while (is_running_) {
    timers_.Advance(UpdateNow());
    RunDeferred();
    if (!is_running_) {
      break;
    }
    if (const auto due = timers_.NextDue()) {
      const timeval wait = ToTimeval(*due - now_);
      event_add(wake_timer_, &wait);
    }
    event_base_loop(base_, EVLOOP_ONCE);
  }
}

}  // namespace limpetlever
