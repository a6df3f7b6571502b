#include <criterion/criterion.h>

#include <deque>
#include <vector>

#include "base/random_source.h"
#include "query/retry_budget.h"

using namespace limpetlever;

// Guards against more extra attempts than the bound of the fleet allows in any window, with hosts
// that restart and begin with a full burst. Each host takes all that it is given.
Test(retry_budget, the_fleet_stays_within_its_bound) {
  constexpr double kRatio = 0.2;
  constexpr double kSlack = 104.0;
  constexpr int kWindow = 100;  // steps
  for (const int hosts : {1, 3, 12, 126}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      random_source dice(seed);
      const retry_terms terms = ShareOfFleet(kRatio, kSlack, hosts);
      std::vector<retry_budget> budgets(static_cast<std::size_t>(hosts));
      std::deque<int> requests;
      std::deque<int> extras;
      for (int step = 0; step < 1000; ++step) {
        int arrived = 0;
        int taken = 0;
        for (retry_budget& budget : budgets) {
          const auto count = static_cast<int>(dice.Below(4));
          for (int i = 0; i < count; ++i) {
            budget.OnRequest(terms);
            ++arrived;
          }
          // Saves for a while and then takes everything at once.
          while (step % 170 > 150 && budget.TakeRetry()) {
            ++taken;
          }
        }
        if (step % 500 == 250) {
          budgets[0] = retry_budget();
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

// Guards against a budget that grants what was not earned.
Test(retry_budget, nothing_is_granted_before_a_request) {
  retry_budget budget;
  cr_assert(!budget.TakeRetry());
}

// Guards against hedges that leave nothing for the retries of failed attempts.
Test(retry_budget, hedges_leave_a_part_to_retries) {
  const retry_terms terms{.per_request = 0.1, .burst = 8.0};
  retry_budget budget;
  budget.OnRequest(terms);
  int hedges = 0;
  while (budget.TakeHedge(terms)) {
    ++hedges;
  }
  int retries = 0;
  while (budget.TakeRetry()) {
    ++retries;
  }
  cr_assert(hedges >= 3 && retries >= 3, "%d hedges, %d retries", hedges, retries);
}
