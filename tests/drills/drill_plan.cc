#include "drills/drill_plan.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

#include "base/random_source.h"

namespace limpetlever {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Covers the 4 s after which hosts count as undisrupted, and two versions that are due. */
constexpr duration kCalmTime = seconds(11);

duration Between(random_source& random, duration low, duration high) {
  const auto span = static_cast<std::uint64_t>((high - low).count());
  return low + duration(static_cast<std::int64_t>(random.Below(span + 1)));
}

duration ChooseCopyAge(random_source& random) {
  constexpr std::array<std::pair<duration, duration>, 3> kRanges = {
      {{milliseconds(100), seconds(1)}, {seconds(1), seconds(8)}, {seconds(8), seconds(20)}}};
  const auto& [low, high] = kRanges[random.Below(kRanges.size())];
  return Between(random, low, high);
}

duration ChooseOutageLength(random_source& random) {
  return random.Below(3) == 0 ? Between(random, seconds(2), seconds(6))
                              : Between(random, duration(0), seconds(2));
}

void AddOutages(random_source& random, drill_plan& plan) {
  duration time = Between(random, seconds(1), seconds(3));
  while (true) {
    std::vector<drill_plan::outage> round;
    duration end = time;
    for (std::uint64_t n = 1 + random.Below(2); n > 0; --n) {
      round.push_back({.begin = end,
                       .length = ChooseOutageLength(random),
                       .copy_age = ChooseCopyAge(random),
                       .kind = static_cast<drill_plan::outage_kind>(random.Below(3)),
                       .lapses_entries = random.Below(3) == 0,
                       .repeats_all_versions = random.Below(2) == 0});
      end = round.back().end() + Between(random, milliseconds(300), seconds(6));
    }
    const duration calm_end = round.back().end() + kCalmTime;
    if (calm_end > plan.length) {
      return;
    }
    plan.outages.insert(plan.outages.end(), round.begin(), round.end());
    time = calm_end + Between(random, duration(0), seconds(8));
  }
}

void AddConfigChanges(random_source& random, drill_plan& plan) {
  for (duration time = milliseconds(500); time < plan.length;
       time += Between(random, milliseconds(500), seconds(3))) {
    plan.actions.push_back(
        {.time = time, .kind = drill_plan::action_kind::change_config, .choice = random.Next()});
  }
}

void AddOtherAction(random_source& random, drill_plan& plan, duration time) {
  using enum drill_plan::action_kind;
  constexpr std::array kKinds = {drain_server,   drain_server, remove_server,
                                 restart_server, evacuate,     kill_host};
  const auto kind = kKinds[random.Below(kKinds.size())];
  plan.actions.push_back({.time = time, .kind = kind, .choice = random.Next()});
  if (kind == evacuate) {
    plan.actions.push_back({.time = time + Between(random, seconds(7), seconds(14)),
                            .kind = end_evacuation,
                            .choice = random.Next()});
  } else if (kind == kill_host) {
    plan.actions.push_back({.time = time + Between(random, milliseconds(200), seconds(3)),
                            .kind = start_host,
                            .choice = random.Next()});
  }
}

}  // namespace

drill_plan MakeDrillPlan(std::uint64_t seed, duration length) {
  random_source random(seed);
  drill_plan plan{.seed = seed, .length = length};
  plan.heartbeats_raise_revision = random.Below(2) == 0;
  AddOutages(random, plan);
  AddConfigChanges(random, plan);
  for (duration time = seconds(1); time < plan.length;
       time += Between(random, seconds(1), seconds(5))) {
    AddOtherAction(random, plan, time);
  }
  // Changes at the very moment of a return meet hosts that are reading the copy.
  for (const drill_plan::outage& outage : plan.outages) {
    if (random.Below(2) == 0) {
      AddOtherAction(random, plan,
                     outage.end() + Between(random, milliseconds(0), milliseconds(400)));
    }
    plan.actions.push_back({.time = outage.end() + Between(random, milliseconds(0), seconds(3)),
                            .kind = drill_plan::action_kind::change_config,
                            .choice = random.Next()});
  }
  std::stable_sort(plan.actions.begin(), plan.actions.end(),
                   [](const auto& a, const auto& b) { return a.time < b.time; });
  return plan;
}

std::string Describe(const drill_plan& plan) {
  constexpr std::array kKinds = {"closed", "silent", "refused"};
  std::ostringstream out;
  const auto ms = [](duration time) {
    return std::chrono::duration_cast<milliseconds>(time).count();
  };
  out << "seed " << plan.seed << ", " << ms(plan.length) / 1000 << " s, heartbeats "
      << (plan.heartbeats_raise_revision ? "raise" : "do not raise") << " the revision\n";
  for (const drill_plan::outage& outage : plan.outages) {
    out << "outage at " << ms(outage.begin) << " ms for " << ms(outage.length) << " ms ("
        << kKinds[static_cast<std::size_t>(outage.kind)] << "), copy of " << ms(outage.copy_age)
        << " ms before" << (outage.lapses_entries ? ", entries lapse" : "")
        << (outage.repeats_all_versions ? ", all versions written again" : "") << "\n";
  }
  return out.str();
}

}  // namespace limpetlever
