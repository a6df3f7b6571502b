#include "limits/replica_limiter.h"

#include <algorithm>

#include "chart/state_chart.h"

namespace limpetlever {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Design page: halve above 3 times the usual latency; an order of magnitude means cold again.
constexpr int kRiseFactor = 3;
constexpr int kJumpFactor = 10;
// One answer in 100 straggles at 20 times the median on a healthy server, so that a single slow one
// is no evidence; three in a row happen by chance once in a million answers.
constexpr int kJumpsInARow = 3;
constexpr duration kResetWindow = seconds(1);

// Well above the error of the mean of a window, which is about 2%.
constexpr double kUsualMargin = 1.10;
// Share of the time taken so far that is waited on top. It makes up for the last tenth of the
// warm-up that the margin above hides, and stays well below the 25% that full rate may lag.
constexpr double kExtraWait = 0.15;
// While warming only this share of what the latency shows is used, less a part of the table's
// limit: the error of the latency is multiplied when it is compared to that of the start.
constexpr double kUsedShare = 0.75;
constexpr double kShareError = 0.05;

// Shortest wait after a fall, so that one burst of refusals does not lead to the next at once.
constexpr duration kShortestHold = milliseconds(100);
// Longest wait after a fall: a limit that was too low for this long is tried again.
constexpr duration kLongestHold = seconds(5);
// A server that falls again sooner than this is taken to be in the same warm-up.
constexpr duration kSteadyAfter = seconds(10);

// When the latency has stopped falling above the usual one for this long and for half of the time
// of the warm-up, it is the new usual one: the server has changed, and is not cold.
constexpr duration kShortestPlateau = seconds(10);
constexpr double kPlateauShare = 0.5;
constexpr double kClearlyLower = 0.95;

// With no latency to compare to, a latency that never fell clearly belongs to a replica that was
// warm from the start: a replica that starts 3 times slower and warms up in 30 s becomes 2% faster
// in 0.9 s.
constexpr double kFirstClearlyLower = 0.98;
// Stragglers count for at most this many times the mean in the trend of the latency.
constexpr int kMostTrendFactor = 2;

constexpr std::size_t kFormerIds = 8;

duration Scaled(duration value, double factor) {
  return duration(static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

}  // namespace

replica_limiter::replica_limiter(int most)
    : most_(std::max(1, most)), state_(EmbeddedChart("backend_server")) {}

void replica_limiter::SetMost(int most) {
  most_ = std::max(1, most);
  limit_ = std::min(limit_, most_);
  if (state_.IsIn("warm") && limit_ < most_) {
    // The server itself has not changed, so that the new room is opened by successes alone.
    state_.Fire("fell");
  }
}

void replica_limiter::SuggestUsualLatency(duration usual) {
  if (!usual_ && usual > duration::zero()) {
    usual_ = usual;
  }
}

bool replica_limiter::cold() const {
  return state_.IsIn("cold") || state_.IsIn("draining") || (limit_ < most_ && 2 * limit_ <= most_);
}

duration replica_limiter::warm_latency() const {
  return state_.IsIn("warm") ? usual_.value_or(duration::zero()) : duration::zero();
}

duration replica_limiter::usual_latency() const {
  return recent_.IsFull() || !usual_ ? recent_.TrimmedMean() : *usual_;
}

bool replica_limiter::IsFromBeforeFall(duration elapsed, instant now) const {
  return fell_at_ && now - elapsed < *fell_at_;
}

void replica_limiter::OnSuccess(duration elapsed, bool was_limited, instant now) {
  if (IsFromBeforeFall(elapsed, now)) {
    return;
  }
  if (!warming_since_) {
    warming_since_ = now - elapsed;
    unusual_at_ = instant::min();
    trend_.Start(*warming_since_);
  }
  Record(elapsed, now);
  if (was_limited && !IsFromBeforeFall(elapsed, now)) {
    Grow(now);
  }
}

void replica_limiter::OnNoAnswer(duration elapsed, instant now) {
  if (!IsFromBeforeFall(elapsed, now)) {
    Record(elapsed, now);
  }
}

void replica_limiter::Record(duration elapsed, instant now) {
  recent_.Add(elapsed);
  if (!usual_ && recent_.IsFull()) {
    trend_.Add(std::min(elapsed, recent_.TrimmedMean() * kMostTrendFactor), now);
  }
  const bool is_jump = usual_ && elapsed > *usual_ * kJumpFactor;
  jumps_in_a_row_ = is_jump ? jumps_in_a_row_ + 1 : 0;
  if (state_.IsIn("warm")) {
    Learn(elapsed);
  } else {
    WatchWarming(now);
  }
  if (state_.IsIn("warm") || is_open_) {
    WatchLatency(now);
  }
}

void replica_limiter::Learn(duration elapsed) {
  if (!recent_.IsFull()) {
    return;
  }
  if (!usual_) {
    usual_ = recent_.TrimmedMean();
    return;
  }
  // Equal shares both ways, since unequal ones would make the estimate stray to the side of the
  // larger; slow, so that a server that turns slow is not taken for usual before the rise is
  // noticed.
  constexpr int kLearnedShare = 256;
  const duration mean = recent_.TrimmedMean();
  // A single answer is not learned from: stragglers would raise the estimate.
  if (elapsed <= mean * 2) {
    usual_ = *usual_ + (mean - *usual_) / kLearnedShare;
  }
}

void replica_limiter::WatchLatency(instant now) {
  if (jumps_in_a_row_ >= kJumpsInARow) {
    FallCold(now);
  } else if (usual_ && recent_.IsFull() && recent_.TrimmedMean() > *usual_ * kRiseFactor) {
    FallTo(limit_ / 2, now);
  }
}

void replica_limiter::WatchWarming(instant now) {
  if (!recent_.IsFull()) {
    return;
  }
  const duration mean = recent_.TrimmedMean();
  slowest_ = std::max(slowest_, mean);
  if (fastest_ == duration::zero() ||
      mean < Scaled(fastest_, usual_ ? kClearlyLower : kFirstClearlyLower)) {
    fastest_ = mean;
    fastest_at_ = now;
  }
  const duration plateau = std::max(kShortestPlateau, Scaled(now - *warming_since_, kPlateauShare));
  if (!usual_ &&
      (trend_.HasFlattened(now) || trend_.NeverFell(now) || now - fastest_at_ >= plateau)) {
    usual_ = mean;
    is_usual_presumed_ = true;
  }
  if (!usual_ || is_open_) {
    return;
  }
  // Two windows in a row must be above: a fast server gives thousands of windows in a warm-up, and
  // a single one above by chance would put off the full limit.
  unusual_in_a_row_ = mean > Scaled(*usual_, kUsualMargin) ? unusual_in_a_row_ + 1 : 0;
  const bool is_first = unusual_in_a_row_ > 0 && unusual_at_ < *warming_since_;
  if (is_first || unusual_in_a_row_ > latency_window::kSize) {
    unusual_at_ = now;
  }
  is_open_ = unusual_in_a_row_ == 0 &&
             (unusual_at_ < *warming_since_ ||
              now - *warming_since_ >= Scaled(unusual_at_ - *warming_since_, 1.0 + kExtraWait));
  if (mean > Scaled(*usual_, kUsualMargin) && now - fastest_at_ > plateau) {
    usual_ = mean;
  }
  const int ceiling = Ceiling();
  if (2 * ceiling < limit_) {
    // The answers are much slower than when the limit grew: the server has turned colder.
    FallTo(ceiling, now);
  } else {
    limit_ = std::min(limit_, ceiling);
  }
}

int replica_limiter::Ceiling() const {
  if (is_open_) {
    return most_;
  }
  if (!usual_) {
    // A second attempt might already be more than the server can bear.
    return 1;
  }
  if (!recent_.IsFull()) {
    return limit_;
  }
  const auto mean = static_cast<double>(recent_.TrimmedMean().count());
  const auto usual = static_cast<double>(usual_->count());
  const auto slowest = static_cast<double>(slowest_.count());
  // The latency of a warming server falls either in proportion to its warmth or as the inverse of
  // it; the lower of both estimates is safe for either.
  const double by_inverse = usual / std::max(mean, 1.0);
  const double by_proportion = slowest > usual ? (slowest - mean) / (slowest - usual) : by_inverse;
  const double share = std::clamp(std::min(by_inverse, by_proportion), 0.0, 1.0);
  return std::max(1, static_cast<int>((share * kUsedShare - kShareError) * most_));
}

void replica_limiter::Grow(instant now) {
  ++successes_;
  if (limit_ >= most_) {
    if (!state_.IsIn("warm") && now >= hold_until_ && Ceiling() >= most_ &&
        (usual_ || recent_.IsFull()) && state_.Fire("full")) {
      warm_since_ = now;
      is_usual_presumed_ = false;
      if (!usual_) {
        usual_ = recent_.TrimmedMean();
      }
    }
    return;
  }
  if (now < hold_until_ || successes_ < limit_) {
    return;
  }
  successes_ = 0;
  // Linear growth takes sixteen windows from 0 to the table's limit, so that a limit of hundreds
  // is reached within the quarter of the warm-up that full rate may lag.
  constexpr int kLinearWindows = 16;
  const int step = 2 * limit_ <= most_ ? limit_ : std::max(1, most_ / kLinearWindows);
  const int grown = std::min({limit_ + step, most_, Ceiling()});
  if (grown <= limit_) {
    return;
  }
  limit_ = grown;
  state_.Fire("grown");
}

void replica_limiter::OnShed(duration elapsed, instant now) {
  if (!IsFromBeforeFall(elapsed, now)) {
    FallTo(limit_ / 2, now);
    // The server was not as warm as its latency showed.
    unusual_at_ = now;
    if (is_usual_presumed_) {
      usual_.reset();
      is_usual_presumed_ = false;
      limit_ = 1;
    }
  }
}

void replica_limiter::OnConnectionReset(instant now) {
  const bool is_second = last_reset_ && now - *last_reset_ <= kResetWindow;
  last_reset_ = now;
  if (is_second) {
    FallCold(now);
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
    if (former_ids_.size() > kFormerIds) {
      former_ids_.pop_front();
    }
    FallCold(now);
  }
  instance_id_ = instance_id;
  return is_replaced;
}

void replica_limiter::OnDraining() {
  state_.Fire("drain");
}

void replica_limiter::OnReturned(instant now) {
  if (state_.Fire("returned")) {
    FallCold(now);
  }
}

void replica_limiter::FallTo(int limit, instant now) {
  if (state_.Fire("fell") && warm_since_ && now - *warm_since_ > kSteadyAfter) {
    warming_since_.reset();
  }
  limit_ = std::max(1, limit);
  NoteFall(now);
}

void replica_limiter::FallCold(instant now) {
  state_.Fire("restarted");
  limit_ = 1;
  warming_since_.reset();
  NoteFall(now);
}

void replica_limiter::NoteFall(instant now) {
  if (!warming_since_) {
    warming_since_ = now;
    unusual_at_ = instant::min();
    trend_.Start(now);
    slowest_ = duration::zero();
  }
  fell_at_ = now;
  is_open_ = false;
  fastest_ = duration::zero();
  fastest_at_ = now;
  recent_.Clear();
  jumps_in_a_row_ = 0;
  unusual_in_a_row_ = 0;
  successes_ = 0;
  hold_until_ =
      now + std::clamp(Scaled(now - *warming_since_, kExtraWait), kShortestHold, kLongestHold);
}

}  // namespace limpetlever
