#include <criterion/criterion.h>

#include <cstdio>

#include "base/random_source.h"
#include "claim_model.h"

using namespace limpetlever;

namespace {

struct grants_unconfirmed : claim_rules {
  static constexpr bool kGrantsOnlyConfirmed = false;
};
struct replaces_any : claim_rules {
  static constexpr bool kReplacesOnlyReleased = false;
};
struct assumes_lost_writes_worked : claim_rules {
  static constexpr bool kReadsBackUnknownOutcomes = false;
};

struct search_result {
  /** Number of states visited. */
  long states = 0;
  std::string violation;
};

/** Explores every sequence of steps with at most `faults` faults and `depth` steps. */
template <typename Rules>
void Explore(const claim_model<Rules>& model, int faults, int depth, search_result& search) {
  if (!search.violation.empty() || depth == 0) {
    return;
  }
  claim_model<Rules> current = model;
  for (const model_step& step : current.EnabledSteps()) {
    if (step.is_fault() && faults == 0) {
      continue;
    }
    claim_model<Rules> next = current;
    next.Apply(step);
    ++search.states;
    search.violation = next.FindViolation();
    if (!search.violation.empty()) {
      return;
    }
    Explore(next, faults - (step.is_fault() ? 1 : 0), depth - 1, search);
    if (!search.violation.empty()) {
      return;
    }
  }
}

template <typename Rules>
search_result ExploreResend(int faults, int depth) {
  const claim_model<Rules> model(
      2, {MakeRequest("k", "one blanket"), MakeRequest("k", "one blanket")});
  search_result search;
  Explore(model, faults, depth, search);
  return search;
}

/** Takes random steps with 3 hosts, 4 keys, 24 requests and faults, up to the first violation. */
template <typename Rules>
search_result RandomWalk(std::uint64_t seed, int steps) {
  random_source random(seed);
  std::vector<submission_request> requests;
  for (int i = 0; i < 24; ++i) {
    requests.push_back(MakeRequest("k" + std::to_string(random.Below(4)),
                                   random.Below(10) == 0 ? "another body" : "one blanket"));
  }
  claim_model<Rules> model(3, requests);
  search_result search;
  for (int i = 0; i < steps && search.violation.empty(); ++i) {
    const auto enabled = model.EnabledSteps();
    if (enabled.empty()) {
      break;
    }
    // About one step in four is a fault, so that requests also complete.
    std::vector<model_step> candidates;
    const bool wants_fault = random.Below(4) == 0;
    for (const model_step& step : enabled) {
      if (step.is_fault() == wants_fault) {
        candidates.push_back(step);
      }
    }
    const auto& choices = candidates.empty() ? enabled : candidates;
    model.Apply(choices[random.Below(choices.size())]);
    ++search.states;
    search.violation = model.FindViolation();
  }
  return search;
}

template <typename Rules>
search_result RandomWalks(std::uint64_t seeds) {
  search_result total;
  for (std::uint64_t seed = 1; seed <= seeds && total.violation.empty(); ++seed) {
    const search_result walk = RandomWalk<Rules>(seed, 400);
    total.states += walk.states;
    total.violation =
        walk.violation.empty() ? "" : "seed " + std::to_string(seed) + ": " + walk.violation;
  }
  return total;
}

constexpr int kFaults = 2;
constexpr int kDepth = 12;
constexpr std::uint64_t kSeeds = 1500;

}  // namespace

// Guards against every order of steps, with up to two faults, in which the request of a key is
// executed twice, or one is executed whose caller received "not run".
Test(interleavings, no_order_of_steps_with_two_faults_runs_a_key_twice) {
  const search_result found = ExploreResend<claim_rules>(kFaults, kDepth);
  std::fprintf(stderr, "explored %ld states\n", found.states);
  cr_assert(found.violation.empty(), "%s", found.violation.c_str());
  cr_assert(found.states > 10'000);
}

// Guards against longer combinations of faults than the exhaustive search reaches.
Test(interleavings, no_seed_runs_a_key_twice) {
  const search_result found = RandomWalks<claim_rules>(kSeeds);
  std::fprintf(stderr, "%ld random steps\n", found.states);
  cr_assert(found.violation.empty(), "%s", found.violation.c_str());
}

// Guards against a search that cannot detect a violation: it must find one for each disabled rule.
Test(interleavings, a_dispatch_before_the_claim_is_confirmed_is_found) {
  cr_assert(!ExploreResend<grants_unconfirmed>(kFaults, kDepth).violation.empty());
  cr_assert(!RandomWalks<grants_unconfirmed>(kSeeds).violation.empty());
}

Test(interleavings, a_replaced_claim_of_another_process_is_found) {
  cr_assert(!ExploreResend<replaces_any>(kFaults, kDepth).violation.empty());
  cr_assert(!RandomWalks<replaces_any>(kSeeds).violation.empty());
}

Test(interleavings, a_lost_answer_taken_for_success_is_found) {
  cr_assert(!ExploreResend<assumes_lost_writes_worked>(kFaults, kDepth).violation.empty());
  cr_assert(!RandomWalks<assumes_lost_writes_worked>(kSeeds).violation.empty());
}
