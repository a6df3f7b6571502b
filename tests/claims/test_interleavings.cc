#include <criterion/criterion.h>

#include <cstdio>

#include "base/random_source.h"
#include "claim_world.h"

using namespace limpetlever;

namespace {

struct grants_unconfirmed : claim_rules {
  static constexpr bool kGrantsOnlyConfirmed = false;
};
struct replaces_any : claim_rules {
  static constexpr bool kReplacesOnlyUndispatched = false;
};
struct assumes_lost_writes_worked : claim_rules {
  static constexpr bool kReadsBackUnknownOutcomes = false;
};

struct search_result {
  long worlds = 0;
  std::string violation;
};

/** Follows every sequence of steps with at most `faults` faults and `depth` steps. */
template <typename Rules>
void Explore(const claim_world<Rules>& world, int faults, int depth, search_result& out) {
  if (!out.violation.empty() || depth == 0) {
    return;
  }
  claim_world<Rules> here = world;
  for (const world_step& step : here.Steps()) {
    if (step.is_fault() && faults == 0) {
      continue;
    }
    claim_world<Rules> next = here;
    next.Take(step);
    ++out.worlds;
    out.violation = next.Violation();
    if (!out.violation.empty()) {
      return;
    }
    Explore(next, faults - (step.is_fault() ? 1 : 0), depth - 1, out);
    if (!out.violation.empty()) {
      return;
    }
  }
}

template <typename Rules>
search_result ExploreResend(int faults, int depth) {
  const claim_world<Rules> world(2, {Pledge("k", "one blanket"), Pledge("k", "one blanket")});
  search_result out;
  Explore(world, faults, depth, out);
  return out;
}

/** Random steps with many hosts, keys, resends and faults; returns the first violation. */
template <typename Rules>
search_result Wander(std::uint64_t seed, int steps) {
  random_source random(seed);
  std::vector<submission_request> requests;
  for (int i = 0; i < 24; ++i) {
    requests.push_back(Pledge("k" + std::to_string(random.Below(4)),
                              random.Below(10) == 0 ? "another body" : "one blanket"));
  }
  claim_world<Rules> world(3, requests);
  search_result out;
  for (int i = 0; i < steps && out.violation.empty(); ++i) {
    const auto all = world.Steps();
    if (all.empty()) {
      break;
    }
    // A fault in about one step of four, so that requests also get through.
    std::vector<world_step> wanted;
    const bool wants_fault = random.Below(4) == 0;
    for (const world_step& step : all) {
      if (step.is_fault() == wants_fault) {
        wanted.push_back(step);
      }
    }
    const auto& choice = wanted.empty() ? all : wanted;
    world.Take(choice[random.Below(choice.size())]);
    ++out.worlds;
    out.violation = world.Violation();
  }
  return out;
}

template <typename Rules>
search_result WanderOver(std::uint64_t seeds) {
  search_result total;
  for (std::uint64_t seed = 1; seed <= seeds && total.violation.empty(); ++seed) {
    const search_result one = Wander<Rules>(seed, 400);
    total.worlds += one.worlds;
    total.violation =
        one.violation.empty() ? "" : "seed " + std::to_string(seed) + ": " + one.violation;
  }
  return total;
}

constexpr int kFaults = 2;
constexpr int kDepth = 12;
constexpr std::uint64_t kSeeds = 1500;

}  // namespace

// Guards against any order of steps, with up to two faults, in which a key runs twice or a request
// that was refused as "not run" ran.
Test(interleavings, no_order_of_steps_with_two_faults_runs_a_key_twice) {
  const search_result found = ExploreResend<claim_rules>(kFaults, kDepth);
  std::fprintf(stderr, "explored %ld worlds\n", found.worlds);
  cr_assert(found.violation.empty(), "%s", found.violation.c_str());
  cr_assert(found.worlds > 10'000);
}

// Guards against faults in longer combinations than the exhaustive search reaches.
Test(interleavings, no_seed_runs_a_key_twice) {
  const search_result found = WanderOver<claim_rules>(kSeeds);
  std::fprintf(stderr, "%ld random steps\n", found.worlds);
  cr_assert(found.violation.empty(), "%s", found.violation.c_str());
}

// Guards against a search that cannot see a fault: each removed rule must be noticed.
Test(interleavings, a_dispatch_before_the_claim_is_confirmed_is_found) {
  cr_assert(!ExploreResend<grants_unconfirmed>(kFaults, kDepth).violation.empty());
  cr_assert(!WanderOver<grants_unconfirmed>(kSeeds).violation.empty());
}

Test(interleavings, a_replaced_claim_of_another_process_is_found) {
  cr_assert(!ExploreResend<replaces_any>(kFaults, kDepth).violation.empty());
  cr_assert(!WanderOver<replaces_any>(kSeeds).violation.empty());
}

Test(interleavings, a_lost_answer_taken_for_success_is_found) {
  cr_assert(!ExploreResend<assumes_lost_writes_worked>(kFaults, kDepth).violation.empty());
  cr_assert(!WanderOver<assumes_lost_writes_worked>(kSeeds).violation.empty());
}
