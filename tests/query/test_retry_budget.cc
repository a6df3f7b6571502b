#include <criterion/criterion.h>

#include <deque>
#include <vector>

#include "base/random_source.h"
#include "query/retry_budget.h"

using namespace limpetlever;

// Guards against exceeding the fleet's bound on extra attempts in any window, also when all hosts
// restart and begin with their initial burst. Each host takes all extra attempts that it gets.
Test(retry_budget, the_fleet_stays_within_its_bound) {
  constexpr double kRatio = 0.2;
  constexpr double kSlack = 104.0;
  constexpr int kWindow = 100;  // steps
  constexpr duration kStep = std::chrono::milliseconds(100);
  for (const int hosts : {1, 3, 12, 126}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      random_source random(seed);
      const retry_limits limits = HostRetryLimits(
          {.ratio = kRatio, .slack = kSlack, .window = kWindow * kStep}, 1.0, hosts);
      std::vector<retry_budget> budgets(static_cast<std::size_t>(hosts));
      std::deque<int> requests;
      std::deque<int> extras;
      instant now{};
      for (int step = 0; step < 1000; ++step) {
        now += kStep;
        int arrived = 0;
        int taken = 0;
        for (retry_budget& budget : budgets) {
          const auto count = static_cast<int>(random.Below(4));
          for (int i = 0; i < count; ++i) {
            budget.OnRequest(limits, now);
            ++arrived;
          }
          // Accumulates tokens for a while and then takes all of them.
          while (step % 170 > 150 && budget.TakeRetry(limits, now)) {
            ++taken;
          }
        }
        // Restarts all hosts while they take all of their tokens.
        if (step % 510 == 500) {
          budgets.assign(budgets.size(), retry_budget());
        }
        requests.push_back(arrived);
        extras.push_back(taken);
        if (requests.size() > kWindow) {
          requests.pop_front();
          extras.pop_front();
        }
        double in_window = 0;
        double extra = 0;
        for (std::size_t i = 0; i < requests.size(); ++i) {
          in_window += requests[i];
          extra += extras[i];
        }
        cr_assert(extra <= kRatio * in_window + kSlack, "hosts %d seed %d: %g extras", hosts,
                  static_cast<int>(seed), extra);
      }
    }
  }
}

// Guards against a retry before any request or time has added a token.
Test(retry_budget, nothing_is_granted_before_a_request) {
  retry_budget budget;
  cr_assert(!budget.TakeRetry({}, {}));
}

// Guards against hedges that use up the budget for retries of failed attempts.
Test(retry_budget, hedges_leave_a_reserve_for_retries) {
  const retry_limits limits{.per_request = 0.1, .burst = 8.0};
  retry_budget budget;
  budget.OnRequest(limits, {});
  // Fills the budget, which starts with a share of the burst.
  for (int i = 0; i < 100; ++i) {
    budget.OnRequest(limits, {});
  }
  int hedges = 0;
  while (budget.TakeHedge(limits, {})) {
    ++hedges;
  }
  int retries = 0;
  while (budget.TakeRetry(limits, {})) {
    ++retries;
  }
  cr_assert(hedges >= 3 && retries >= 3, "%d hedges, %d retries", hedges, retries);
}

// Guards against a service with few requests that gets no extra attempts although most of the
// fleet's slack, which is refilled over time, is unused.
Test(retry_budget, time_adds_extra_attempts) {
  const retry_limits limits =
      HostRetryLimits({.ratio = 0.2, .slack = 100.0, .window = std::chrono::seconds(10)}, 1.0, 10);
  retry_budget budget;
  instant now{};
  budget.OnRequest(limits, now);
  while (budget.TakeRetry(limits, now)) {
  }
  int taken = 0;
  for (int second = 0; second < 100; ++second) {
    now += std::chrono::seconds(1);
    taken += budget.TakeRetry(limits, now) ? 1 : 0;
  }
  cr_assert(taken >= 20 && taken <= 30, "%d in 10 windows", taken);
}
