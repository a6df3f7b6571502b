#include "base/bounded_number.h"

#include <algorithm>

namespace limpetlever {

duration BoundedMilliseconds(double ms, duration max) {
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  const auto max_us = static_cast<double>(max.count());
  const double us = BoundedDouble(ms, 0.0, max_us) * kMicrosecondsPerMillisecond;
  return us >= max_us ? max : duration(static_cast<std::int64_t>(us));
}

int BoundedInt(std::int64_t number, int min, int max) {
  return static_cast<int>(std::clamp<std::int64_t>(number, min, max));
}

double BoundedDouble(double number, double min, double max) {
  // The comparison is false for a value that is not a number.
  return number >= min ? std::min(number, max) : min;
}

}  // namespace limpetlever
