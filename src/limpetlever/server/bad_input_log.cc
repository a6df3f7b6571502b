#include "server/bad_input_log.h"

#include "events/event_log.h"
#include "server/host_metrics.h"
#include "transport/monotonic_clock.h"

namespace limpetlever {

namespace {

// The event log has a fixed capacity; a client that floods the host with bad input must not evict
// all other events from it.
constexpr int kMaxEventsPerSecond = 20;
constexpr std::size_t kMaxDetailBytes = 200;

}  // namespace

void bad_input_log::Add(const std::string& reason,
                        const std::string& client,
                        const std::string& detail) {
  metrics_.OnBadInput();
  {
    const std::lock_guard lock(mutex_);
    ++counts_[reason];
    const instant now = MonotonicNow();
    if (now - window_start_ >= std::chrono::seconds(1)) {
      window_start_ = now;
      recorded_in_window_ = 0;
    }
    if (++recorded_in_window_ > kMaxEventsPerSecond) {
      return;
    }
  }
  events_.Record(
      event_number::bad_input,
      {{"reason", reason}, {"client", client}, {"detail", detail.substr(0, kMaxDetailBytes)}});
}

std::map<std::string, std::uint64_t> bad_input_log::counts() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

}  // namespace limpetlever
