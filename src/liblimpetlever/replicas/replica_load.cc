#include "replicas/replica_load.h"

#include <algorithm>
#include <cmath>

namespace limpetlever {

namespace {

// Weight of one sample in the moving averages, which follow a change within about three answers.
constexpr double kSampleWeight = 0.3;
// Upper bound of one sample, in multiples of the typical latency.
constexpr double kMaxRatio = 10.0;
// Time constant of the exponential decay; a server is used again after some seconds.
constexpr duration kDecayTime = std::chrono::seconds(2);
// Backoff after the first failed connection attempt; doubles up to kMaxDoublings times.
constexpr duration kInitialRetryDelay = std::chrono::milliseconds(250);
constexpr int kMaxDoublings = 3;
// Requests take some tens of milliseconds, so that a reported load is soon out of date.
constexpr duration kReportLifetime = std::chrono::milliseconds(100);

double Decayed(double value, instant at, instant now) {
  const double age = std::chrono::duration<double>(now - at) / kDecayTime;
  return value * std::exp(-std::max(0.0, age));
}

}  // namespace

void replica_load::OnSent(instant now) {
  sent_.insert(now);
}

void replica_load::RemoveInFlight(instant sent) {
  if (const auto found = sent_.find(sent); found != sent_.end()) {
    sent_.erase(found);
  }
}

void replica_load::OnAnswered(instant sent, instant now, duration typical_latency) {
  RemoveInFlight(sent);
  OnReachable();
  RecordLatency(now - sent, now, typical_latency);
  failure_share_ = FailureShare(now) * (1.0 - kSampleWeight);
  failure_at_ = now;
}

void replica_load::OnFailed(instant sent, instant now) {
  RemoveInFlight(sent);
  failure_share_ = FailureShare(now) * (1.0 - kSampleWeight) + kSampleWeight;
  failure_at_ = now;
}

void replica_load::OnCancelled(instant sent, instant now, duration typical_latency) {
  RemoveInFlight(sent);
  if (now - sent > typical_latency) {
    RecordLatency(now - sent, now, typical_latency);
  }
}

void replica_load::RecordLatency(duration latency, instant now, duration typical_latency) {
  if (typical_latency <= duration::zero()) {
    return;
  }
  const double ratio =
      std::min(kMaxRatio, std::chrono::duration<double>(latency) / typical_latency);
  // The lower of the last two samples is used, so that one straggler, for example during a short
  // pause of the server, does not mark it as slow.
  const double robust = std::min(ratio, last_ratio_);
  latency_ratio_ = LatencyRatio(now) * (1.0 - kSampleWeight) + robust * kSampleWeight;
  latency_ratio_at_ = now;
  last_ratio_ = ratio;
}

void replica_load::OnReport(const reported_load& report, instant now) {
  load_from_other_hosts_ = std::max(0, report.running + report.waiting - in_flight());
  reported_at_ = now;
}

void replica_load::OnUnreachable(instant now) {
  const int doublings = std::min(unreachable_count_, kMaxDoublings);
  ++unreachable_count_;
  next_retry_at_ = now + kInitialRetryDelay * (1 << doublings);
}

double replica_load::LatencyRatio(instant now) const {
  return 1.0 + Decayed(latency_ratio_ - 1.0, latency_ratio_at_, now);
}

double replica_load::FailureShare(instant now) const {
  return Decayed(failure_share_, failure_at_, now);
}

bool replica_load::IsStalled(instant now, duration limit) const {
  return !sent_.empty() && now - *sent_.begin() > limit;
}

int replica_load::LoadFromOtherHosts(instant now) const {
  return reported_at_ && now - *reported_at_ <= kReportLifetime ? load_from_other_hosts_ : 0;
}

}  // namespace limpetlever
