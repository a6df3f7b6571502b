#ifndef LIMPETLEVER_BASE_BOUNDED_NUMBER_H_
#define LIMPETLEVER_BASE_BOUNDED_NUMBER_H_

#include <cstdint>

#include "base/time_types.h"

namespace limpetlever {

/**
 * The largest number of microseconds and the largest revision or version that are accepted from
 * outside: 285 years. Sums of such numbers do not overflow.
 */
inline constexpr std::int64_t kMaxOutsideNumber = std::int64_t{1} << 53;

/** A span of `ms` milliseconds, limited to the range from 0 to `max`; 0 if `ms` is not a number. */
duration BoundedMilliseconds(double ms, duration max);

/** `number`, limited to the range from `min` to `max`. */
int BoundedInt(std::int64_t number, int min, int max);

/** `number`, limited to the range from `min` to `max`; `min` if it is not a number. */
double BoundedDouble(double number, double min, double max);

}  // namespace limpetlever

#endif  // LIMPETLEVER_BASE_BOUNDED_NUMBER_H_
