#include "query/retry_budget.h"

#include <algorithm>

namespace limpetlever {

namespace {

// Share of the fleet's bound that is used. The rest covers requests that were counted by a host
// that has since stopped.
constexpr double kUsedBoundShare = 0.9;
// Shares of the slack that the burst holds, and that is refilled in each window. A starting host
// has half of its burst, so that a fleet that is restarted within a window stays within the slack:
// 0.5 + 0.25 + 0.5 / 2 = 1.
constexpr double kBurstSlackShare = 0.5;
constexpr double kRefillSlackShare = 0.25;
constexpr double kInitialBurstShare = 0.5;
// Share of the burst that is reserved for retries.
constexpr double kRetryReserveShare = 0.5;

}  // namespace

retry_limits HostRetryLimits(const fleet_retry_bound& bound, double part, int hosts) {
  const double slack = bound.slack * part / std::max(1, hosts);
  const double window_s = std::chrono::duration<double>(bound.window).count();
  return {.per_request = bound.ratio * kUsedBoundShare,
          .burst = slack * kBurstSlackShare,
          .per_second = window_s > 0.0 ? slack * kRefillSlackShare / window_s : 0.0};
}

void retry_budget::AddTokens(double count, const retry_limits& limits) {
  tokens_ = std::min(std::max(limits.burst, 1.0), tokens_ + count);
}

void retry_budget::RefillByTime(const retry_limits& limits, instant now) {
  if (refilled_at_) {
    const double seconds = std::chrono::duration<double>(now - *refilled_at_).count();
    AddTokens(std::max(0.0, seconds) * limits.per_second, limits);
  } else {
    tokens_ = limits.burst * kInitialBurstShare;
  }
  refilled_at_ = now;
}

void retry_budget::OnRequest(const retry_limits& limits, instant now) {
  RefillByTime(limits, now);
  AddTokens(limits.per_request, limits);
}

bool retry_budget::TakeHedge(const retry_limits& limits, instant now) {
  RefillByTime(limits, now);
  return tokens_ >= limits.burst * kRetryReserveShare && TakeToken();
}

bool retry_budget::TakeRetry(const retry_limits& limits, instant now) {
  RefillByTime(limits, now);
  return TakeToken();
}

bool retry_budget::TakeToken() {
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

}  // namespace limpetlever
