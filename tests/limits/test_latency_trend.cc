#include <criterion/criterion.h>

#include <algorithm>

#include "base/random_source.h"
#include "limits/latency_trend.h"

using namespace limpetlever;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/**
 * Simulates a replica that is `cold_factor` times slower at first and warms up in `warm_up`, with
 * latencies that vary by a fifth. Returns when it is detected as warm, as a multiple of `warm_up`.
 */
double MeasureDetectionTime(duration warm_up, double cold_factor, unsigned seed) {
  random_source random(seed);
  latency_trend trend;
  trend.Start({});
  instant now{};
  while (now < instant(2 * warm_up)) {
    const double warm_up_fraction =
        std::min(1.0, std::chrono::duration<double>(now.time_since_epoch()) /
                          std::chrono::duration<double>(warm_up));
    const double slowness = 1.0 + (cold_factor - 1.0) * (1.0 - warm_up_fraction);
    const double varied = 20'000.0 * slowness * (0.8 + 0.4 * random.Unit());
    const duration latency(static_cast<duration::rep>(varied));
    now += latency;
    trend.Add(latency, now);
    if (trend.HasFlattened(now) || trend.NeverFell(now)) {
      return std::chrono::duration<double>(now.time_since_epoch()) /
             std::chrono::duration<double>(warm_up);
    }
  }
  return 2.0;
}

}  // namespace

// Guards against sending a second request to a replica that is still cold because the slow fall of
// its latency was not detected, and against limiting a replica long after its warm-up.
Test(latency_trend, a_warm_up_is_detected_neither_early_nor_late) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    for (const auto warm_up : {seconds(10), seconds(20), seconds(30)}) {
      for (const double cold_factor : {3.0, 7.0}) {
        const double after = MeasureDetectionTime(warm_up, cold_factor, seed);
        cr_assert(after >= 1.0 && after <= 1.25, "%g warm-ups, factor %g, seed %u", after,
                  cold_factor, seed);
      }
    }
  }
}

// Guards against treating a warm replica as cold for longer than the shortest warm-up.
Test(latency_trend, a_warm_replica_is_detected_within_ten_seconds) {
  random_source random(1);
  latency_trend trend;
  trend.Start({});
  instant now{};
  while (!trend.NeverFell(now)) {
    const duration latency(9'000 + static_cast<duration::rep>(random.Below(2'000)));
    now += latency;
    trend.Add(latency, now);
  }
  cr_assert(now <= instant(seconds(10)));
}
