#include "limits/request_limit.h"

#include <algorithm>
#include <cmath>

namespace limpetlever {

namespace {

// Share of a limit that the hosts divide. The rest covers hosts that believe in different fleets,
// of which more than intended take a part.
constexpr double kDividedShare = 0.85;
// Hosts without a part find out together, in each second, with this share of the limit, whether it
// has ended.
constexpr double kTrialShare = 0.125;
constexpr duration kMinTrialInterval = std::chrono::seconds(5);
// A limit of 0 could never be found to have ended.
constexpr double kMinRequestsPerSecond = 0.05;
// Multiples of the golden ratio spread the trials of the hosts evenly.
constexpr double kGoldenRatio = 0.6180339887;

duration Seconds(double count) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(count));
}

}  // namespace

int request_limit::SharingHosts() const {
  const double hosts = std::floor(std::min(requests_per_s(), 1.0 * share_.hosts));
  return std::max(1, static_cast<int>(hosts));
}

double request_limit::OwnRequestsPerSecond() const {
  return kDividedShare * requests_per_s() / SharingHosts();
}

double request_limit::Tokens(instant now) const {
  const double burst = std::max(1.0, requests_per_s() / SharingHosts());
  const double elapsed_s = std::chrono::duration<double>(now - refilled_at_).count();
  return std::min(burst, tokens_ + std::max(0.0, elapsed_s) * OwnRequestsPerSecond());
}

duration request_limit::TrialInterval() const {
  const double mean_s = share_.fleet / (kTrialShare * requests_per_s());
  const double position = std::fmod(share_.rank * kGoldenRatio, 1.0);
  return std::max(kMinTrialInterval, Seconds(mean_s * (0.5 + position)));
}

void request_limit::OnNamed(double requests_per_s, instant now) {
  const double limit = std::max(kMinRequestsPerSecond, requests_per_s);
  if (!requests_per_s_) {
    requests_per_s_ = limit;
    tokens_ = 0.0;
    next_trial_ = now + TrialInterval();
  } else if (*requests_per_s_ != limit) {
    tokens_ = Tokens(now);
    requests_per_s_ = limit;
    tokens_ = std::min(tokens_, Tokens(now));
  } else {
    named_at_ = now;
    return;
  }
  named_at_ = now;
  refilled_at_ = now;
}

void request_limit::OnNotNamed(instant sent) {
  if (sent > named_at_) {
    OnEnded();
  }
}

void request_limit::SetShare(const limit_share& share, instant now) {
  if (share == share_) {
    return;
  }
  const bool was_sharing = IsSharing();
  tokens_ = IsNamed() && was_sharing ? Tokens(now) : 0.0;
  refilled_at_ = now;
  share_ = share;
  if (IsNamed() && was_sharing && !IsSharing()) {
    next_trial_ = now + TrialInterval();
  }
}

instant request_limit::NextSend(instant now) const {
  if (!IsNamed()) {
    return now;
  }
  if (!IsSharing()) {
    return std::max(now, next_trial_);
  }
  const double missing = 1.0 - Tokens(now);
  return missing <= 0.0 ? now : now + Seconds(missing / OwnRequestsPerSecond()) + duration(1);
}

void request_limit::OnSent(instant now) {
  if (!IsNamed()) {
    return;
  }
  if (IsSharing()) {
    tokens_ = std::max(0.0, Tokens(now) - 1.0);
    refilled_at_ = now;
  } else {
    next_trial_ = now + TrialInterval();
  }
}

}  // namespace limpetlever
