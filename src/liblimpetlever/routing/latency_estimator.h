#ifndef LIMPETLEVER_ROUTING_LATENCY_ESTIMATOR_H_
#define LIMPETLEVER_ROUTING_LATENCY_ESTIMATOR_H_

#include <array>
#include <cstdint>
#include <optional>

#include "base/time_types.h"

namespace limpetlever {

/**
 * Estimates latency percentiles of one service, with an error of at most 5%, from a histogram of
 * fixed size. All counts are halved at intervals, so that recent samples weigh more.
 */
class latency_estimator {
 public:
  /**
   * Adds a sample. The age of a cancelled attempt, a lower bound of its latency, may be added too.
   */
  void Add(duration latency);

  /** The 95th percentile; nullopt until there are enough samples. */
  std::optional<duration> Percentile95() const { return percentile_95_; }
  std::optional<duration> Median() const { return median_; }

 private:
  // Buckets from 1 us to about 2 minutes; their bounds grow by a sixteenth of a doubling (4.4%).
  static constexpr int kBucketsPerDoubling = 16;
  static constexpr int kBuckets = 27 * kBucketsPerDoubling;
  std::optional<duration> Percentile(double share) const;

  std::array<std::uint32_t, kBuckets> counts_{};
  std::uint32_t total_count_ = 0;
  std::uint32_t samples_added_ = 0;
  std::optional<duration> percentile_95_;
  std::optional<duration> median_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_LATENCY_ESTIMATOR_H_
