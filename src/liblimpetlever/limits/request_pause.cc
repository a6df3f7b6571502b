#include "limits/request_pause.h"

#include <algorithm>

namespace limpetlever {

namespace {

// A request that finds out whether the pause is over and stays without an answer is followed by
// another one after this time.
constexpr duration kTrialTimeout = std::chrono::seconds(1);
// The hosts return within this share of the pause after its end, and within this time.
constexpr double kSpreadShare = 0.2;
constexpr duration kMaxSpread = std::chrono::seconds(2);

}  // namespace

void request_pause::OnAsked(duration wish, instant now, double spread) {
  if (wish <= duration::zero()) {
    return;
  }
  const duration pause = std::min(wish, kMaxPause);
  const duration widest =
      std::min(kMaxSpread, std::chrono::duration_cast<duration>(pause * kSpreadShare));
  const auto delay = std::chrono::duration_cast<duration>(widest * std::clamp(spread, 0.0, 1.0));
  const instant end = now + pause + delay;
  until_ = std::max(until_.value_or(end), end);
  trial_sent_.reset();
}

void request_pause::OnNotAsked(instant sent) {
  if (until_ && sent >= *until_) {
    until_.reset();
    trial_sent_.reset();
  }
}

void request_pause::OnSent(instant now) {
  if (until_ && now >= *until_) {
    trial_sent_ = now;
  }
}

instant request_pause::NextSend(instant now) const {
  if (!until_) {
    return now;
  }
  const instant next = trial_sent_ ? *trial_sent_ + kTrialTimeout : *until_;
  return std::max(now, next);
}

}  // namespace limpetlever
