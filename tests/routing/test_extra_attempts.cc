#include <criterion/criterion.h>

#include "routing_fixture.h"

using namespace limpetlever;

// Guards against extra attempts before any were earned, against hedges above 3% of first attempts,
// and against hedges and retries together above 10%.
Test(extra_attempt_budget, never_grants_more_than_earned) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    random_source random(seed);
    extra_attempt_budget budget;
    cr_assert(!budget.TakeHedge() && !budget.TakeEarlyHedge() && !budget.TakeRetry());
    for (int step = 0; step < 5000; ++step) {
      switch (random.Below(4)) {
        case 0:
          budget.TakeHedge();
          break;
        case 1:
          budget.TakeEarlyHedge();
          break;
        case 2:
          budget.TakeRetry();
          break;
        default:
          budget.OnFirstAttempt();
      }
      cr_assert(100 * budget.hedges() <= 3 * budget.first_attempts());
      cr_assert(100 * (budget.hedges() + budget.retries()) <= 10 * budget.first_attempts());
    }
  }
}

// Guards against a burst of hedges after a long time in which none were needed.
Test(extra_attempt_budget, keeps_at_most_ten_hedges_and_reserves_half_for_stragglers) {
  extra_attempt_budget budget;
  for (int i = 0; i < 100000; ++i) {
    budget.OnFirstAttempt();
  }
  while (budget.TakeEarlyHedge()) {
  }
  cr_assert(budget.hedges() == 5, "%ld", static_cast<long>(budget.hedges()));
  while (budget.TakeHedge()) {
  }
  cr_assert(budget.hedges() == 10, "%ld", static_cast<long>(budget.hedges()));
}

// Guards against a hedge delay that is off by more than the resolution of the histogram, or that is
// derived from too few samples.
Test(latency_estimator, finds_the_percentile) {
  latency_estimator latency;
  random_source random(3);
  for (int i = 0; i < 32; ++i) {
    latency.Add(Ms(1));
  }
  cr_assert(!latency.Percentile95());
  for (int i = 0; i < 20000; ++i) {
    latency.Add(duration(1000 + random.Below(100'000)));
  }
  const auto found = latency.Percentile95()->count();
  cr_assert(found > 92'000 && found < 102'000, "%ld us", static_cast<long>(found));
}

// Guards against a percentile that is dominated by old samples after the latency rose or fell.
Test(latency_estimator, follows_a_change) {
  latency_estimator latency;
  for (int i = 0; i < 100000; ++i) {
    latency.Add(Ms(5));
  }
  for (int i = 0; i < 150; ++i) {
    latency.Add(Ms(50));
  }
  cr_assert(*latency.Percentile95() > Ms(45));
  for (int i = 0; i < 6000; ++i) {
    latency.Add(Ms(5));
  }
  cr_assert(*latency.Percentile95() < Ms(6));
}
