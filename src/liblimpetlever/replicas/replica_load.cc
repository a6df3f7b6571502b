#include "replicas/replica_load.h"

#include <algorithm>
#include <cmath>

namespace limpetlever {

namespace {

// Weight of one observation; a third follows a change within about three answers.
constexpr double kSampleWeight = 0.3;
// A single answer does not count for more than this many times the usual latency.
constexpr double kMostRatio = 10.0;
// Observations fade with this time constant, so that a server is tried again after some seconds.
constexpr duration kFadeTime = std::chrono::seconds(2);
// First pause after a server could not be reached; doubles up to the most.
constexpr duration kFirstPause = std::chrono::milliseconds(250);
constexpr int kMostDoublings = 3;
// A reported load is of the moment; work lasts some tens of milliseconds.
constexpr duration kReportLifetime = std::chrono::milliseconds(100);

double Faded(double value, instant at, instant now) {
  const double age = std::chrono::duration<double>(now - at) / kFadeTime;
  return value * std::exp(-std::max(0.0, age));
}

}  // namespace

void replica_load::OnSent(instant now) {
  sent_.insert(now);
}

void replica_load::Forget(instant sent) {
  if (const auto found = sent_.find(sent); found != sent_.end()) {
    sent_.erase(found);
  }
}

void replica_load::OnAnswered(instant sent, instant now, duration usual) {
  Forget(sent);
  OnReachable();
  TakeLatency(now - sent, now, usual);
  failure_share_ = FailureShare(now) * (1.0 - kSampleWeight);
  failure_at_ = now;
}

void replica_load::OnFailed(instant sent, instant now) {
  Forget(sent);
  failure_share_ = FailureShare(now) * (1.0 - kSampleWeight) + kSampleWeight;
  failure_at_ = now;
}

void replica_load::OnCancelled(instant sent, instant now, duration usual) {
  Forget(sent);
  if (now - sent > usual) {
    TakeLatency(now - sent, now, usual);
  }
}

void replica_load::TakeLatency(duration latency, instant now, duration usual) {
  if (usual <= duration::zero()) {
    return;
  }
  const double ratio = std::min(kMostRatio, std::chrono::duration<double>(latency) / usual);
  // A lone straggler, such as a short pause of the server, does not make it a slow server.
  const double robust = std::min(ratio, last_ratio_);
  slowness_ = Slowness(now) * (1.0 - kSampleWeight) + robust * kSampleWeight;
  slowness_at_ = now;
  last_ratio_ = ratio;
}

void replica_load::OnReport(const reported_load& report, instant now) {
  reported_others_ = std::max(0, report.running + report.waiting - in_flight());
  reported_at_ = now;
}

void replica_load::OnUnreachable(instant now) {
  const int doublings = std::min(unreachable_count_, kMostDoublings);
  ++unreachable_count_;
  next_try_ = now + kFirstPause * (1 << doublings);
}

double replica_load::Slowness(instant now) const {
  return 1.0 + Faded(slowness_ - 1.0, slowness_at_, now);
}

double replica_load::FailureShare(instant now) const {
  return Faded(failure_share_, failure_at_, now);
}

bool replica_load::IsStalled(instant now, duration limit) const {
  return !sent_.empty() && now - *sent_.begin() > limit;
}

int replica_load::ReportedByOthers(instant now) const {
  return reported_at_ && now - *reported_at_ <= kReportLifetime ? reported_others_ : 0;
}

}  // namespace limpetlever
