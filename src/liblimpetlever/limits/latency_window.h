#ifndef LIMPETLEVER_LIMITS_LATENCY_WINDOW_H_
#define LIMPETLEVER_LIMITS_LATENCY_WINDOW_H_

#include <array>
#include <cstddef>

#include "base/time_types.h"

namespace limpetlever {

/** Sliding window of the latest latencies of one replica. A value type. */
class latency_window {
 public:
  // With service times that vary by a fifth, the mean of the middle 25 of 31 has a standard error
  // of about 2%, well below the tenth by which a server in warm-up is distinguished from a warm
  // one.
  static constexpr std::size_t kSize = 31;

  void Add(duration latency);
  void Clear() { count_ = 0; }
  bool IsFull() const { return count_ >= kSize; }
  std::size_t size() const { return count_ < kSize ? count_ : kSize; }
  /**
   * Mean of the values without the highest and lowest tenth, so that stragglers do not affect it;
   * zero if the window is empty.
   */
  duration TrimmedMean() const;

  bool operator==(const latency_window&) const = default;

 private:
  std::array<duration, kSize> values_{};
  std::size_t count_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_LATENCY_WINDOW_H_
