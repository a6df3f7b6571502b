#include "query/retry_budget.h"

#include <algorithm>

namespace limpetlever {

namespace {

// Part of the fleet's bound that is used. The rest covers requests that were counted by a host
// that was stopped.
constexpr double kUsedRatio = 0.9;
// Parts of the slack that may be saved, and that is earned in each window. A host that starts has
// half of what may be saved, so that a fleet that starts anew within a window stays within the
// slack: 0.5 + 0.25 + 0.5 / 2 = 1.
constexpr double kSavedSlack = 0.5;
constexpr double kEarnedSlack = 0.25;
constexpr double kStartingPart = 0.5;
// Part of what may be saved that hedges leave to retries.
constexpr double kKeptForRetries = 0.5;

}  // namespace

retry_terms ShareOfFleet(const retry_bound& bound, double part, int hosts) {
  const double slack = bound.slack * part / std::max(1, hosts);
  const double window_s = std::chrono::duration<double>(bound.window).count();
  return {.per_request = bound.ratio * kUsedRatio,
          .burst = slack * kSavedSlack,
          .per_second = window_s > 0.0 ? slack * kEarnedSlack / window_s : 0.0};
}

void retry_budget::Earn(double count, const retry_terms& terms) {
  tokens_ = std::min(std::max(terms.burst, 1.0), tokens_ + count);
}

void retry_budget::EarnByTime(const retry_terms& terms, instant now) {
  if (earned_until_) {
    const double seconds = std::chrono::duration<double>(now - *earned_until_).count();
    Earn(std::max(0.0, seconds) * terms.per_second, terms);
  } else {
    tokens_ = terms.burst * kStartingPart;
  }
  earned_until_ = now;
}

void retry_budget::OnRequest(const retry_terms& terms, instant now) {
  EarnByTime(terms, now);
  Earn(terms.per_request, terms);
}

bool retry_budget::TakeHedge(const retry_terms& terms, instant now) {
  EarnByTime(terms, now);
  return tokens_ >= terms.burst * kKeptForRetries && Take();
}

bool retry_budget::TakeRetry(const retry_terms& terms, instant now) {
  EarnByTime(terms, now);
  return Take();
}

bool retry_budget::Take() {
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

}  // namespace limpetlever
