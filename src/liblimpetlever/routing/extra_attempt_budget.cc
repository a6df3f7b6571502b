#include "routing/extra_attempt_budget.h"

#include <algorithm>

namespace limpetlever {

namespace {

constexpr std::int64_t kTokensPerAttempt = 100;
constexpr std::int64_t kHedgeTokensEarned = 3;
constexpr std::int64_t kExtraTokensEarned = 10;
// At most 10 hedges accumulate, so that a long time without hedges does not fund a burst of them.
constexpr std::int64_t kMaxHedgeTokens = 10 * kTokensPerAttempt;
// Both budgets are full after the same number of first attempts, about 334.
constexpr std::int64_t kMaxExtraTokens = 33 * kTokensPerAttempt;

}  // namespace

void extra_attempt_budget::OnFirstAttempt() {
  ++first_attempts_;
  hedge_tokens_ = std::min(kMaxHedgeTokens, hedge_tokens_ + kHedgeTokensEarned);
  extra_tokens_ = std::min(kMaxExtraTokens, extra_tokens_ + kExtraTokensEarned);
}

bool extra_attempt_budget::TakeHedge() {
  if (hedge_tokens_ < kTokensPerAttempt || extra_tokens_ < kTokensPerAttempt) {
    return false;
  }
  hedge_tokens_ -= kTokensPerAttempt;
  extra_tokens_ -= kTokensPerAttempt;
  ++hedges_;
  return true;
}

bool extra_attempt_budget::TakeEarlyHedge() {
  return hedge_tokens_ >= kMaxHedgeTokens / 2 + kTokensPerAttempt && TakeHedge();
}

bool extra_attempt_budget::TakeRetry() {
  if (extra_tokens_ < kTokensPerAttempt) {
    return false;
  }
  extra_tokens_ -= kTokensPerAttempt;
  ++retries_;
  return true;
}

}  // namespace limpetlever
