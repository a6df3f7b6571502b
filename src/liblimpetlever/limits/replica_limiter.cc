#include "limits/replica_limiter.h"

#include <algorithm>

#include "chart/state_chart.h"

namespace limpetlever {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Design page: the limit is halved above 3 times the reference latency; a rise by an order of
// magnitude means that the server is cold again.
constexpr int kHalvingLatencyFactor = 3;
constexpr int kColdLatencyFactor = 10;
// On a healthy server one answer in 100 is a straggler at 20 times the median, so that a single
// slow answer is no evidence. Three in a row occur by chance once in a million answers.
constexpr int kJumpsForCold = 3;
constexpr duration kResetWindow = seconds(1);

// Well above the standard error of a window's mean, which is about 2%.
constexpr double kWarmMargin = 1.10;
// Wait before the full limit, as a share of the warm-up time so far. It covers the last tenth of
// the warm-up, which kWarmMargin hides, and is well below the 25% that the full rate may lag.
constexpr double kExtraWaitShare = 0.15;
// During the warm-up the limit is this share of the capacity estimated from the latency, minus a
// share of the table's limit: comparison with the initial latency amplifies the error of the mean.
constexpr double kUsedCapacityShare = 0.75;
constexpr double kCapacityErrorShare = 0.05;
// Standard error of a window's mean. The slowest window is the highest of many, and at the start of
// a warm-up the capacity is smaller than the error of its difference to the present one.
constexpr double kMeanErrorShare = 0.02;

// Minimum wait after a reduction, so that a burst of refusals is not followed by another at once.
constexpr duration kMinGrowthPause = milliseconds(100);
// Maximum wait after a reduction, so that a limit that is too low grows again.
constexpr duration kMaxGrowthPause = seconds(5);
// A server whose limit is reduced sooner than this after it was warm is in the same warm-up.
constexpr duration kMinTimeBetweenWarmUps = seconds(10);

// If the latency stops falling above the reference for this long and for half of the warm-up, the
// server is not cold but has become slower, and its latency is the new reference.
constexpr duration kMinPlateau = seconds(10);
constexpr double kPlateauShare = 0.5;
constexpr double kClearFallRatio = 0.95;

// Without a reference, a replica whose latency never falls clearly was warm from the start: one
// that starts 3 times slower and warms up in 30 s becomes 2% faster in 0.9 s.
constexpr double kFirstClearFallRatio = 0.98;
// Upper bound of a sample in the latency trend, in multiples of the mean, to limit stragglers.
constexpr int kMaxTrendFactor = 2;

constexpr std::size_t kMaxFormerIds = 8;

duration Scaled(duration value, double factor) {
  return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

}  // namespace

replica_limiter::replica_limiter(int max_limit)
    : max_limit_(std::max(1, max_limit)), state_(EmbeddedChart("backend_server")) {}

void replica_limiter::SetMaxLimit(int max_limit) {
  max_limit_ = std::max(1, max_limit);
  limit_ = std::min(limit_, max_limit_);
  if (state_.IsIn("warm") && limit_ < max_limit_) {
    // The server itself has not changed, so that successes alone raise the limit.
    state_.Fire("fell");
  }
}

void replica_limiter::SuggestReferenceLatency(duration reference) {
  if (!reference_latency_ && reference > duration::zero()) {
    reference_latency_ = reference;
  }
}

bool replica_limiter::cold() const {
  return state_.IsIn("cold") || state_.IsIn("draining") ||
         (limit_ < max_limit_ && 2 * limit_ <= max_limit_);
}

duration replica_limiter::warm_latency() const {
  return state_.IsIn("warm") ? reference_latency_.value_or(duration::zero()) : duration::zero();
}

duration replica_limiter::expected_latency() const {
  return recent_.IsFull() || !reference_latency_ ? recent_.TrimmedMean() : *reference_latency_;
}

bool replica_limiter::StartedBeforeReduction(duration elapsed, instant now) const {
  return reduced_at_ && now - elapsed < *reduced_at_;
}

void replica_limiter::OnSuccess(duration elapsed, bool was_limited, instant now) {
  if (StartedBeforeReduction(elapsed, now)) {
    return;
  }
  if (!warm_up_started_at_) {
    warm_up_started_at_ = now - elapsed;
    last_slow_at_ = instant::min();
    trend_.Start(*warm_up_started_at_);
  }
  Record(elapsed, now);
  if (was_limited && !StartedBeforeReduction(elapsed, now)) {
    Grow(now);
  }
}

void replica_limiter::OnNoAnswer(duration elapsed, instant now) {
  if (!StartedBeforeReduction(elapsed, now)) {
    Record(elapsed, now);
  }
}

void replica_limiter::Record(duration elapsed, instant now) {
  recent_.Add(elapsed);
  if (!reference_latency_ && recent_.IsFull()) {
    trend_.Add(std::min(elapsed, recent_.TrimmedMean() * kMaxTrendFactor), now);
  }
  const bool is_jump = reference_latency_ && elapsed > *reference_latency_ * kColdLatencyFactor;
  consecutive_jumps_ = is_jump ? consecutive_jumps_ + 1 : 0;
  if (state_.IsIn("warm")) {
    UpdateReference(elapsed);
  } else {
    TrackWarmUp(now);
  }
  if (state_.IsIn("warm") || is_full_limit_open_) {
    CheckLatencyRise(now);
  }
}

void replica_limiter::UpdateReference(duration elapsed) {
  if (!recent_.IsFull()) {
    return;
  }
  if (!reference_latency_) {
    reference_latency_ = recent_.TrimmedMean();
    return;
  }
  // The same weight for rises and falls, since different ones would bias the estimate. The weight
  // is small, so that a rise of the latency is detected before the reference follows it.
  constexpr int kLearningDivisor = 256;
  const duration mean = recent_.TrimmedMean();
  // Stragglers do not update the reference, which they would raise.
  if (elapsed <= mean * 2) {
    reference_latency_ = *reference_latency_ + (mean - *reference_latency_) / kLearningDivisor;
  }
}

void replica_limiter::CheckLatencyRise(instant now) {
  if (consecutive_jumps_ >= kJumpsForCold) {
    ResetToCold(now);
  } else if (reference_latency_ && recent_.IsFull() &&
             recent_.TrimmedMean() > *reference_latency_ * kHalvingLatencyFactor) {
    ReduceLimit(limit_ / 2, now);
  }
}

void replica_limiter::TrackWarmUp(instant now) {
  if (!recent_.IsFull()) {
    return;
  }
  const duration mean = recent_.TrimmedMean();
  slowest_mean_ = std::max(slowest_mean_, mean);
  if (fastest_mean_ == duration::zero() ||
      mean < Scaled(fastest_mean_, reference_latency_ ? kClearFallRatio : kFirstClearFallRatio)) {
    fastest_mean_ = mean;
    fastest_mean_at_ = now;
  }
  const duration plateau = std::max(kMinPlateau, Scaled(now - *warm_up_started_at_, kPlateauShare));
  if (!reference_latency_ &&
      (trend_.HasFlattened(now) || trend_.NeverFell(now) || now - fastest_mean_at_ >= plateau)) {
    reference_latency_ = mean;
    is_reference_presumed_ = true;
  }
  if (!reference_latency_ || is_full_limit_open_) {
    return;
  }
  // Two successive windows must be above the margin: a fast server gives thousands of windows in a
  // warm-up, and a single one that is above it by chance would delay the full limit.
  consecutive_slow_windows_ =
      mean > Scaled(*reference_latency_, kWarmMargin) ? consecutive_slow_windows_ + 1 : 0;
  const bool is_first = consecutive_slow_windows_ > 0 && last_slow_at_ < *warm_up_started_at_;
  if (is_first || consecutive_slow_windows_ > latency_window::kSize) {
    last_slow_at_ = now;
  }
  is_full_limit_open_ = consecutive_slow_windows_ == 0 &&
                        (last_slow_at_ < *warm_up_started_at_ ||
                         now - *warm_up_started_at_ >=
                             Scaled(last_slow_at_ - *warm_up_started_at_, 1.0 + kExtraWaitShare));
  if (mean > Scaled(*reference_latency_, kWarmMargin) && now - fastest_mean_at_ > plateau) {
    reference_latency_ = mean;
  }
  const int ceiling = LimitCeiling();
  if (2 * ceiling < limit_) {
    // The answers are much slower than when the limit was raised: the server has become colder.
    ReduceLimit(ceiling, now);
  } else {
    limit_ = std::min(limit_, ceiling);
  }
}

int replica_limiter::LimitCeiling() const {
  if (is_full_limit_open_) {
    return max_limit_;
  }
  if (!reference_latency_) {
    // A second concurrent attempt might already overload the server.
    return 1;
  }
  if (!recent_.IsFull()) {
    return limit_;
  }
  const auto mean = static_cast<double>(recent_.TrimmedMean().count());
  const auto reference = static_cast<double>(reference_latency_->count());
  const auto slowest = static_cast<double>(slowest_mean_.count());
  // During a warm-up the latency falls either linearly with the server's capacity or as the inverse
  // of it. The lower of the two estimates is safe in both cases.
  const double by_inverse = reference / std::max(mean, 1.0);
  const double error = kMeanErrorShare * (slowest + mean);
  const double by_proportion =
      slowest > reference ? (slowest - mean - error) / (slowest - reference) : by_inverse;
  const double share = std::clamp(std::min(by_inverse, by_proportion), 0.0, 1.0);
  return std::max(
      1, static_cast<int>((share * kUsedCapacityShare - kCapacityErrorShare) * max_limit_));
}

void replica_limiter::Grow(instant now) {
  ++successes_;
  if (limit_ >= max_limit_) {
    if (!state_.IsIn("warm") && now >= no_growth_until_ && LimitCeiling() >= max_limit_ &&
        (reference_latency_ || recent_.IsFull()) && state_.Fire("full")) {
      warm_at_ = now;
      is_reference_presumed_ = false;
      if (!reference_latency_) {
        reference_latency_ = recent_.TrimmedMean();
      }
    }
    return;
  }
  if (now < no_growth_until_ || successes_ < limit_) {
    return;
  }
  successes_ = 0;
  // Linear growth from 0 to the table's limit takes sixteen windows, so that a limit of hundreds is
  // reached within a quarter of the warm-up, which is as long as the full rate may lag.
  constexpr int kLinearWindows = 16;
  const int step = 2 * limit_ <= max_limit_ ? limit_ : std::max(1, max_limit_ / kLinearWindows);
  const int raised = std::min({limit_ + step, max_limit_, LimitCeiling()});
  if (raised <= limit_) {
    return;
  }
  limit_ = raised;
  state_.Fire("grown");
}

void replica_limiter::OnShed(duration elapsed, instant now) {
  if (!StartedBeforeReduction(elapsed, now)) {
    ReduceLimit(limit_ / 2, now);
    // The latency overstated the server's capacity.
    last_slow_at_ = now;
    if (is_reference_presumed_) {
      reference_latency_.reset();
      is_reference_presumed_ = false;
      limit_ = 1;
    }
  }
}

void replica_limiter::OnConnectionReset(instant now) {
  const bool is_second = last_reset_ && now - *last_reset_ <= kResetWindow;
  last_reset_ = now;
  if (is_second) {
    ResetToCold(now);
  }
}

bool replica_limiter::OnInstanceId(const std::string& instance_id, instant now) {
  if (instance_id.empty() || instance_id == instance_id_ ||
      std::find(former_ids_.begin(), former_ids_.end(), instance_id) != former_ids_.end()) {
    return false;
  }
  const bool is_replaced = !instance_id_.empty();
  if (is_replaced) {
    former_ids_.push_back(instance_id_);
    if (former_ids_.size() > kMaxFormerIds) {
      former_ids_.pop_front();
    }
    ResetToCold(now);
  }
  instance_id_ = instance_id;
  return is_replaced;
}

void replica_limiter::OnDraining() {
  state_.Fire("drain");
}

void replica_limiter::OnReturned(instant now) {
  if (state_.Fire("returned")) {
    ResetToCold(now);
  }
}

void replica_limiter::ReduceLimit(int limit, instant now) {
  if (state_.Fire("fell") && warm_at_ && now - *warm_at_ > kMinTimeBetweenWarmUps) {
    warm_up_started_at_.reset();
  }
  limit_ = std::max(1, limit);
  OnLimitReduced(now);
}

void replica_limiter::ResetToCold(instant now) {
  state_.Fire("restarted");
  limit_ = 1;
  warm_up_started_at_.reset();
  OnLimitReduced(now);
}

void replica_limiter::OnLimitReduced(instant now) {
  if (!warm_up_started_at_) {
    warm_up_started_at_ = now;
    last_slow_at_ = instant::min();
    trend_.Start(now);
    slowest_mean_ = duration::zero();
  }
  reduced_at_ = now;
  is_full_limit_open_ = false;
  fastest_mean_ = duration::zero();
  fastest_mean_at_ = now;
  recent_.Clear();
  consecutive_jumps_ = 0;
  consecutive_slow_windows_ = 0;
  successes_ = 0;
  no_growth_until_ = now + std::clamp(Scaled(now - *warm_up_started_at_, kExtraWaitShare),
                                      kMinGrowthPause, kMaxGrowthPause);
}

}  // namespace limpetlever
