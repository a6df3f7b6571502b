#ifndef LIMPETLEVER_BASE_TIME_TYPES_H_
#define LIMPETLEVER_BASE_TIME_TYPES_H_

#include <chrono>

namespace limpetlever {

/** A span of time, in microseconds. */
using duration = std::chrono::microseconds;

/** A point on the monotonic clock of one process. Not comparable between processes. */
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

/** A point on the wall clock, for display and for expiry across restarts; may be skewed. */
using wall_time = std::chrono::time_point<std::chrono::system_clock, duration>;

}  // namespace limpetlever

#endif  // LIMPETLEVER_BASE_TIME_TYPES_H_
