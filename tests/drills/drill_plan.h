#ifndef TESTS_DRILLS_DRILL_PLAN_H_
#define TESTS_DRILLS_DRILL_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time_types.h"

namespace limpetlever {

/** What happens around the hosts during a soak. All times count from the start of the plan. */
struct drill_plan {
  /** How calls of the hosts end while the store is away. */
  enum class outage_kind { closed, silent, refused };

  /** The store is away, and returns from a copy of its earlier contents. */
  struct outage {
    duration begin{};
    duration length{};
    /** Age of the copy at the begin. */
    duration copy_age{};
    outage_kind kind = outage_kind::closed;
    /** Whether some entries of backend servers have lapsed when the store returns. */
    bool lapses_entries = false;
    /** Whether the operator writes each lost version again, or only the newest one. */
    bool repeats_all_versions = false;

    duration end() const { return begin + length; }
    bool operator==(const outage&) const = default;
  };

  enum class action_kind {
    change_config,
    drain_server,
    remove_server,
    restart_server,
    evacuate,
    end_evacuation,
    kill_host,
    start_host
  };

  struct action {
    duration time{};
    action_kind kind = action_kind::change_config;
    /** Chooses the target among those that are possible at that time. */
    std::uint64_t choice = 0;

    bool operator==(const action&) const = default;
  };

  std::uint64_t seed = 0;
  duration length{};
  /** Whether a heartbeat that changes nothing but its number raises the store's revision. */
  bool heartbeats_raise_revision = true;
  /** If not, the store returns with all that it has acknowledged. */
  bool has_copies = true;
  std::vector<outage> outages;
  /** In order of time. */
  std::vector<action> actions;

  bool operator==(const drill_plan&) const = default;
};

/** The plan of a seed: outages, alone or in pairs, with calm times between them. */
drill_plan MakeDrillPlan(std::uint64_t seed, duration length);

/** One line for each outage. */
std::string Describe(const drill_plan& plan);

}  // namespace limpetlever

#endif  // TESTS_DRILLS_DRILL_PLAN_H_
