#include "limits/latency_window.h"

#include <algorithm>
#include <numeric>

namespace limpetlever {

void latency_window::Add(duration latency) {
  values_[count_ % kSize] = latency;
  ++count_;
}

duration latency_window::TrimmedMean() const {
  const std::size_t held = size();
  if (held == 0) {
    return {};
  }
  constexpr std::size_t kTrimDivisor = 10;
  const auto trimmed = static_cast<std::ptrdiff_t>(held / kTrimDivisor);
  const auto count = static_cast<std::ptrdiff_t>(held);
  std::array<duration, kSize> sorted = values_;
  std::sort(sorted.begin(), sorted.begin() + count);
  const duration sum =
      std::accumulate(sorted.begin() + trimmed, sorted.begin() + count - trimmed, duration::zero());
  return sum / (count - 2 * trimmed);
}

}  // namespace limpetlever
