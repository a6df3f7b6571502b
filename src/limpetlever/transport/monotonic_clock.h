#ifndef LIMPETLEVER_TRANSPORT_MONOTONIC_CLOCK_H_
#define LIMPETLEVER_TRANSPORT_MONOTONIC_CLOCK_H_

#include "base/time_types.h"

namespace limpetlever {

/** Current time of the monotonic clock. */
inline instant MonotonicNow() {
  return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

/** Current time of the wall clock. */
inline wall_time WallNow() {
  return std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
}

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_MONOTONIC_CLOCK_H_
