#ifndef LIMPETLEVER_LIMITS_LATENCY_TREND_H_
#define LIMPETLEVER_LIMITS_LATENCY_TREND_H_

#include <cstddef>
#include <vector>

#include "base/time_types.h"

namespace limpetlever {

/**
 * Latencies of one replica since its warm-up began, kept as sums over equal spans of time. Tells
 * when a latency that fell has stopped falling. A value type.
 */
class latency_trend {
 public:
  void Start(instant now);
  void Add(duration latency, instant now);
  /**
   * Whether the latency fell and has been flat for the last part of the time since the start. False
   * while the answers so far are too few to tell a slow fall from none.
   */
  bool HasFlattened(instant now) const;
  /**
   * Whether the latency has been flat from the start. False while the answers are too few to tell.
   */
  bool NeverFell(instant now) const;

  bool operator==(const latency_trend&) const = default;

 private:
  struct span {
    std::size_t count = 0;
    double sum = 0.0;
    double sum_of_squares = 0.0;
    bool operator==(const span&) const = default;
  };
  struct estimate {
    double mean = 0.0;
    /** Standard error of the mean. */
    double error = 0.0;
    std::size_t count = 0;
  };
  /** Of the answers between two parts of the time since the start, 0 to 1. */
  estimate Between(double from, double to, double elapsed) const;
  void HalveResolution();

  instant started_;
  duration span_length_{};
  std::vector<span> spans_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_LATENCY_TREND_H_
