#include "timer/retry_backoff.h"

#include <algorithm>

#include "base/random_source.h"

namespace limpetlever {

namespace {

// Avoids overflow of the factor; every maximum pause is reached earlier.
constexpr int kMaxDoublings = 16;

}  // namespace

duration RetryBackoff(int failures, duration first, duration max_pause, random_source& random) {
  const int doublings = std::clamp(failures - 1, 0, kMaxDoublings);
  const duration pause = std::min(max_pause, first * (std::int64_t{1} << doublings));
  return std::chrono::duration_cast<duration>(pause * (0.5 + random.Unit()));
}

}  // namespace limpetlever
