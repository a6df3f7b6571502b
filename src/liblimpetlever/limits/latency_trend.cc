#include "limits/latency_trend.h"

#include <algorithm>
#include <cmath>

namespace limpetlever {

namespace {

constexpr duration kInitialSpan = std::chrono::milliseconds(50);
// When there are more, pairs of spans are merged; a part of 0.15 then holds at least nine.
constexpr std::size_t kMaxSpans = 128;

// Length of each of the three compared parts, as a share of the time since the start. A replica
// with a warm-up of W is detected as warm after W / (1 - 0.15) = 1.18 W, below the 1.25 W within
// which it must reach its full rate.
constexpr double kPartShare = 0.15;
// Maximum ratio of the last fall, between the means of adjacent parts, to the one before for a flat
// latency. The ratio is 0.5 if the latency was flat for the whole last part; while it falls, the
// ratio is 1 for a linear fall and 0.68 for a latency inverse to the time since the start.
constexpr double kMaxLastFallRatio = 0.57;
// Significance threshold for the difference of the falls. It is high because the test is repeated
// with each answer, some thousand times in a warm-up.
constexpr double kStandardErrors = 5.0;
constexpr std::size_t kMinAnswers = 8;

// Relative fall of the latency per second at the start of the slowest warm-up: 2.2% for a replica
// that starts 3 times slower and warms up in 30 s, the longest warm-up of the users' services.
constexpr double kMinFallPerS = 0.022;
constexpr duration kMinObservationTime = std::chrono::milliseconds(2500);

}  // namespace

void latency_trend::Start(instant now) {
  started_ = now;
  span_length_ = kInitialSpan;
  spans_.clear();
}

void latency_trend::Add(duration latency, instant now) {
  if (now < started_ || span_length_ <= duration::zero()) {
    return;
  }
  auto index = static_cast<std::size_t>((now - started_) / span_length_);
  while (index >= kMaxSpans) {
    HalveResolution();
    index = static_cast<std::size_t>((now - started_) / span_length_);
  }
  spans_.resize(std::max(spans_.size(), index + 1));
  const auto value = static_cast<double>(latency.count());
  spans_[index].count += 1;
  spans_[index].sum += value;
  spans_[index].sum_of_squares += value * value;
}

void latency_trend::HalveResolution() {
  span_length_ *= 2;
  for (std::size_t i = 0; i < spans_.size(); ++i) {
    const span item = spans_[i];
    spans_[i] = {};
    span& merged = spans_[i / 2];
    merged.count += item.count;
    merged.sum += item.sum;
    merged.sum_of_squares += item.sum_of_squares;
  }
  spans_.resize((spans_.size() + 1) / 2);
}

latency_trend::estimate latency_trend::EstimateBetween(double from,
                                                       double to,
                                                       double elapsed) const {
  std::size_t count = 0;
  std::size_t filled = 0;
  double sum = 0.0;
  double squares_within = 0.0;
  for (std::size_t i = 0; i < spans_.size(); ++i) {
    const span& item = spans_[i];
    const double middle =
        (static_cast<double>(i) + 0.5) * static_cast<double>(span_length_.count());
    if (item.count > 0 && middle >= from * elapsed && middle < to * elapsed) {
      count += item.count;
      ++filled;
      sum += item.sum;
      // Only the variance within spans is noise; the variance between spans is the fall.
      squares_within += item.sum_of_squares - item.sum * item.sum / static_cast<double>(item.count);
    }
  }
  if (count <= filled) {
    return {};
  }
  const double variance = std::max(0.0, squares_within) / static_cast<double>(count - filled);
  return {.mean = sum / static_cast<double>(count),
          .error = std::sqrt(variance / static_cast<double>(count)),
          .count = count};
}

bool latency_trend::NeverFell(instant now) const {
  const duration time = now - started_;
  const auto elapsed = static_cast<double>(time.count());
  const estimate earlier = EstimateBetween(0.0, 0.5, elapsed);
  const estimate later = EstimateBetween(0.5, 1.0, elapsed);
  if (time < kMinObservationTime || std::min(earlier.count, later.count) < kMinAnswers) {
    return false;
  }
  const double min_fall =
      earlier.mean * kMinFallPerS * std::chrono::duration<double>(time).count() / 2;
  const double error = std::hypot(earlier.error, later.error);
  return earlier.mean - later.mean < min_fall / 2 && min_fall / 2 > kStandardErrors * error;
}

bool latency_trend::HasFlattened(instant now) const {
  const auto elapsed = static_cast<double>((now - started_).count());
  const estimate first = EstimateBetween(1.0 - 3 * kPartShare, 1.0 - 2 * kPartShare, elapsed);
  const estimate second = EstimateBetween(1.0 - 2 * kPartShare, 1.0 - kPartShare, elapsed);
  const estimate last = EstimateBetween(1.0 - kPartShare, 1.0, elapsed);
  if (std::min({first.count, second.count, last.count}) < kMinAnswers) {
    return false;
  }
  const double fall_before = first.mean - second.mean;
  const double fall_last = second.mean - last.mean;
  // The difference between the minimum for a latency that still falls and the last fall.
  const double shortfall = kMaxLastFallRatio * fall_before - fall_last;
  const double error = std::hypot(kMaxLastFallRatio * first.error,
                                  (kMaxLastFallRatio + 1.0) * second.error, last.error);
  return shortfall > 0.0 && (1.0 - kMaxLastFallRatio) * fall_before > kStandardErrors * error;
}

}  // namespace limpetlever
