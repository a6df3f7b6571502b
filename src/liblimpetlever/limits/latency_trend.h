#ifndef LIMPETLEVER_LIMITS_LATENCY_TREND_H_
#define LIMPETLEVER_LIMITS_LATENCY_TREND_H_

#include <cstddef>
#include <vector>

#include "base/time_types.h"

namespace limpetlever {

/**
 * Latencies of one replica since the start of its warm-up, aggregated over equal spans of time.
 * Detects that a falling latency has stopped falling. A value type.
 */
class latency_trend {
 public:
  /** Discards all latencies and starts a warm-up. */
  void Start(instant now);
  void Add(duration latency, instant now);
  /**
   * Whether the latency fell and has been flat for the last part of the time since the start. False
   * as long as there are too few answers to tell a slow fall from none.
   */
  bool HasFlattened(instant now) const;
  /**
   * Whether the latency has been flat from the start. False as long as there are too few answers to
   * tell.
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
  /** Estimate from the answers between two points, given as shares of `elapsed` from 0 to 1. */
  estimate EstimateBetween(double from, double to, double elapsed) const;
  void HalveResolution();

  instant started_;
  duration span_length_{};
  std::vector<span> spans_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_LATENCY_TREND_H_
