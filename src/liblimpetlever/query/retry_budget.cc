#include "query/retry_budget.h"

#include <algorithm>

namespace limpetlever {

namespace {

// Part of the fleet's bound that is used. The rest covers requests that were counted by a host
// that was stopped, and hosts that restart and begin with a full burst again.
constexpr double kUsedRatio = 0.9;
constexpr double kUsedSlack = 0.6;
// Part of what may be saved that hedges leave to retries.
constexpr double kKeptForRetries = 0.5;

}  // namespace

retry_terms ShareOfFleet(double ratio, double slack, int hosts) {
  return {.per_request = ratio * kUsedRatio, .burst = slack * kUsedSlack / std::max(1, hosts)};
}

void retry_budget::OnRequest(const retry_terms& terms) {
  if (!is_started_) {
    is_started_ = true;
    tokens_ = terms.burst;
  }
  tokens_ = std::min(std::max(terms.burst, 1.0), tokens_ + terms.per_request);
}

bool retry_budget::TakeHedge(const retry_terms& terms) {
  return tokens_ >= terms.burst * kKeptForRetries && TakeRetry();
}

bool retry_budget::TakeRetry() {
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

}  // namespace limpetlever
