#include "control/store_call_limiter.h"

#include <algorithm>

namespace limpetlever {

namespace {

constexpr duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr duration kMaxBackoff = std::chrono::seconds(5);
// kInitialBackoff (0.1 s) exceeds kMaxBackoff (5 s) after this many doublings.
constexpr int kMaxDoublings = 6;

}  // namespace

bool store_call_limiter::TryStart(call_kind kind, instant now) {
  kind_state& state = kinds_[static_cast<std::size_t>(kind)];
  if (state.in_flight || now < state.not_before) {
    return false;
  }
  state.in_flight = true;
  state.has_started = true;
  return true;
}

void store_call_limiter::Finish(call_kind kind, bool service_answered, instant now) {
  kind_state& state = kinds_[static_cast<std::size_t>(kind)];
  state.in_flight = false;
  if (service_answered) {
    state.consecutive_failures = 0;
    state.not_before = now;
    return;
  }
  const duration backoff = std::min<duration>(
      kMaxBackoff, kInitialBackoff * (1LL << std::min(state.consecutive_failures, kMaxDoublings)));
  ++state.consecutive_failures;
  // Half of the delay is random, which spreads the retries of different hosts; the fixed half
  // prevents an immediate retry.
  const duration half = backoff / 2;
  state.not_before = now + half +
                     duration(static_cast<std::int64_t>(
                         random_.Below(static_cast<std::uint64_t>(half.count()) + 1)));
}

std::optional<instant> store_call_limiter::EarliestStart(call_kind kind) const {
  const kind_state& state = kinds_[static_cast<std::size_t>(kind)];
  return state.in_flight ? std::nullopt : std::optional(state.not_before);
}

bool store_call_limiter::IsStoreUnavailable() const {
  bool has_started = false;
  for (const kind_state& state : kinds_) {
    has_started = has_started || state.has_started;
    if (state.has_started && state.consecutive_failures == 0) {
      return false;
    }
  }
  return has_started;
}

}  // namespace limpetlever
