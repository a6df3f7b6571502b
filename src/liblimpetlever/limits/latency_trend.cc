#include "limits/latency_trend.h"

#include <algorithm>
#include <cmath>

namespace limpetlever {

namespace {

constexpr duration kFirstSpan = std::chrono::milliseconds(50);
// Two spans become one when there are more; a part of 0.15 then holds at least nine.
constexpr std::size_t kMostSpans = 128;

// Length of each of the three parts of the time so far that are compared. A replica that warms up
// in W is known to be warm after W / (1 - 0.15) = 1.18 W, below the 1.25 W that its full rate may
// take.
constexpr double kPart = 0.15;
// The last fall is at most this part of the one before once the latency has been flat for the whole
// last part (0.5 then). While it falls, the ratio is 1 if it falls evenly and 0.68 if it is the
// inverse of the time so far.
constexpr double kMostLastFall = 0.57;
// The falls must differ by this many standard errors for a verdict. The question is asked with each
// answer, some thousand times in a warm-up.
constexpr double kErrors = 5.0;
constexpr std::size_t kLeastAnswers = 8;

// A replica that starts 3 times slower and warms up in 30 s, the longest warm-up of the users'
// services, becomes 2.2% faster in each of the first seconds.
constexpr double kSlowestFallPerS = 0.022;
constexpr duration kLeastTime = std::chrono::milliseconds(2500);

}  // namespace

void latency_trend::Start(instant now) {
  started_ = now;
  span_length_ = kFirstSpan;
  spans_.clear();
}

void latency_trend::Add(duration latency, instant now) {
  if (now < started_ || span_length_ <= duration::zero()) {
    return;
  }
  auto index = static_cast<std::size_t>((now - started_) / span_length_);
  while (index >= kMostSpans) {
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

latency_trend::estimate latency_trend::Between(double from, double to, double elapsed) const {
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
      // Only the variance within the spans is noise; the one between them is the fall.
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
  const estimate earlier = Between(0.0, 0.5, elapsed);
  const estimate later = Between(0.5, 1.0, elapsed);
  if (time < kLeastTime || std::min(earlier.count, later.count) < kLeastAnswers) {
    return false;
  }
  const double least_fall =
      earlier.mean * kSlowestFallPerS * std::chrono::duration<double>(time).count() / 2;
  const double error = std::hypot(earlier.error, later.error);
  return earlier.mean - later.mean < least_fall / 2 && least_fall / 2 > kErrors * error;
}

bool latency_trend::HasFlattened(instant now) const {
  const auto elapsed = static_cast<double>((now - started_).count());
  const estimate first = Between(1.0 - 3 * kPart, 1.0 - 2 * kPart, elapsed);
  const estimate second = Between(1.0 - 2 * kPart, 1.0 - kPart, elapsed);
  const estimate last = Between(1.0 - kPart, 1.0, elapsed);
  if (std::min({first.count, second.count, last.count}) < kLeastAnswers) {
    return false;
  }
  const double fall_before = first.mean - second.mean;
  const double fall_last = second.mean - last.mean;
  // How far the last fall is below the least that a falling latency shows.
  const double shortfall = kMostLastFall * fall_before - fall_last;
  const double error =
      std::hypot(kMostLastFall * first.error, (kMostLastFall + 1.0) * second.error, last.error);
  return shortfall > 0.0 && (1.0 - kMostLastFall) * fall_before > kErrors * error;
}

}  // namespace limpetlever
