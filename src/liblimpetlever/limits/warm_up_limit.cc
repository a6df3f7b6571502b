#include "limits/warm_up_limit.h"

#include <cmath>

namespace limpetlever {

namespace {

// Together the hosts send at most kDividedShare of the limit in a second, and one request each on
// top of it. The users allow 1.5 times the limit and 5 requests; the rest covers hosts that believe
// in different fleets, of which up to half as many again take a part.
constexpr double kDividedShare = 0.7;
// Hosts that have a part, for each request per second of the limit.
constexpr double kHostsPerRequest = 0.3;
// Keeps the interval within the range of its type.
constexpr double kMinRequestsPerSecond = 0.01;

}  // namespace

int warm_up_limit::SharingHosts() const {
  const double hosts = std::floor(std::min(kHostsPerRequest * requests_per_s_, 1.0 * share_.hosts));
  return std::max(1, static_cast<int>(hosts));
}

duration warm_up_limit::Interval() const {
  const double divided = kDividedShare * std::max(kMinRequestsPerSecond, requests_per_s_);
  return std::chrono::duration_cast<duration>(
             std::chrono::duration<double>(SharingHosts() / divided)) +
         duration(1);
}

void warm_up_limit::Restart(instant now) {
  if (IsLimiting(now)) {
    next_send_ = std::max(next_send_, now + Interval());
  }
}

void warm_up_limit::SetService(double requests_per_s, duration warm_up, instant now) {
  warm_up_ = warm_up;
  if (requests_per_s != requests_per_s_) {
    requests_per_s_ = requests_per_s;
    Restart(now);
  }
}

void warm_up_limit::SetShare(const limit_share& share, bool is_settled, instant now) {
  if (share == share_ && is_settled == is_settled_) {
    return;
  }
  const bool was_sharing = IsSharing();
  share_ = share;
  is_settled_ = is_settled;
  if (!was_sharing) {
    Restart(now);
  }
}

void warm_up_limit::OnColdUntil(instant until, instant now) {
  const bool was_limiting = IsLimiting(now);
  cold_until_ = until;
  if (!was_limiting) {
    Restart(now);
  }
}

void warm_up_limit::OnUnreachable(instant now) {
  const bool was_limiting = IsLimiting(now);
  assumed_until_ = now + warm_up_;
  if (!was_limiting) {
    Restart(now);
  }
}

instant warm_up_limit::NextSend(instant now) const {
  if (!IsLimiting(now)) {
    return now;
  }
  return IsSharing() ? std::clamp(next_send_, now, End()) : End();
}

void warm_up_limit::OnSent(instant now) {
  if (IsLimiting(now)) {
    next_send_ = now + Interval();
  }
}

}  // namespace limpetlever
