#include "routing/latency_estimator.h"

#include <algorithm>
#include <cmath>

namespace limpetlever {

namespace {

// With fewer samples the 95th percentile would depend on a single one of them.
constexpr std::uint32_t kMinSamples = 40;
// Counts are halved at this many samples. The 95th percentile then follows a rise of the latency
// within about 100 samples and a fall within about 5,000.
constexpr std::uint32_t kMaxSamples = 2000;
// Each sample adds this much to its bucket, so that halving does not lose rare samples.
constexpr std::uint32_t kCountPerSample = 16;
// Percentiles are read at each attempt but recomputed only at every 16th sample.
constexpr std::uint32_t kSamplesPerScan = 16;

}  // namespace

void latency_estimator::Add(duration latency) {
  const double us = std::max(1.0, static_cast<double>(latency.count()));
  const int bucket = std::min(kBuckets - 1, static_cast<int>(std::log2(us) * kBucketsPerDoubling));
  counts_[bucket] += kCountPerSample;
  total_count_ += kCountPerSample;
  if (total_count_ >= kMaxSamples * kCountPerSample) {
    total_count_ = 0;
    for (std::uint32_t& count : counts_) {
      count /= 2;
      total_count_ += count;
    }
  }
  if (++samples_added_ % kSamplesPerScan == 0) {
    percentile_95_ = Percentile(0.95);
    median_ = Percentile(0.5);
  }
}

std::optional<duration> latency_estimator::Percentile(double share) const {
  if (total_count_ < kMinSamples * kCountPerSample) {
    return std::nullopt;
  }
  const double target_count = share * total_count_;
  double cumulative = 0.0;
  for (int bucket = 0; bucket < kBuckets; ++bucket) {
    cumulative += counts_[bucket];
    if (cumulative >= target_count) {
      const double upper = std::exp2(static_cast<double>(bucket + 1) / kBucketsPerDoubling);
      return duration(static_cast<std::int64_t>(std::ceil(upper)));
    }
  }
  return std::nullopt;
}

}  // namespace limpetlever
