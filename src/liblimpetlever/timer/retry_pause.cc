#include "timer/retry_pause.h"

#include <algorithm>

#include "base/random_source.h"

namespace limpetlever {

namespace {

// Keeps the doubling within the range of an integer; every longest pause is reached before.
constexpr int kMostDoublings = 16;

}  // namespace

duration RetryPause(int failures, duration first, duration longest, random_source& random) {
  const int doublings = std::clamp(failures - 1, 0, kMostDoublings);
  const duration pause = std::min(longest, first * (std::int64_t{1} << doublings));
  return std::chrono::duration_cast<duration>(pause * (0.5 + random.Unit()));
}

}  // namespace limpetlever
