// Calls per second that all hosts make to the key-value service, without those for claims.
#include <string>
#include <vector>

#include "control/store_call_limiter.h"
#include "control/watcher_choice.h"
#include "registry.h"

namespace limpetlever {

namespace {

struct call_rates {
  double reads = 0.0;
  double writes = 0.0;
};

/**
 * Simulates one minute. Watchers keep a watch on the table, which ends after 2 s or with an edit,
 * and read the key of the view every 500 ms. Edits and view changes come at the rates of the design
 * target, in proportion to the number of hosts. Without `watchers_only`, the baseline, every host
 * does so.
 */
call_rates Run(int hosts, bool watchers_only, unsigned seed) {
  const int data_centres = hosts < 100 ? 4 : 17;
  std::vector<member> members;
  for (int i = 0; i < hosts; ++i) {
    members.push_back(
        {.name = "h" + std::to_string(i), .data_centre = "dc" + std::to_string(i % data_centres)});
  }
  const double fleet_share = hosts / 2500.0;
  const double edits_per_s = 59000.0 / 86400 * fleet_share;
  // A restart is a leave and a join; a failure is a removal and a join.
  const double view_changes_per_s = 2 * (8700.0 + 170.0) / 86400 * fleet_share;
  constexpr int kSeconds = 60;
  constexpr auto kStep = std::chrono::milliseconds(50);
  double reads = view_changes_per_s * kSeconds;
  double writes = (view_changes_per_s + edits_per_s) * kSeconds;
  random_source random(seed);
  for (int index = 0; index < data_centres; ++index) {
    const std::string name = "dc" + std::to_string(index);
    for (const member& host : members) {
      if (host.data_centre != name || (watchers_only && !IsWatcher(members, name, host.name))) {
        continue;
      }
      store_call_limiter limiter(random.Next());
      instant watch_end;
      instant next_view_read;
      for (instant now; now < instant(std::chrono::seconds(kSeconds)); now += kStep) {
        const bool is_edited = random.Unit() < edits_per_s * 0.05;
        if ((now >= watch_end || is_edited) &&
            limiter.EarliestStart(call_kind::watch_table) == std::nullopt) {
          limiter.Finish(call_kind::watch_table, true, now);
        }
        if (limiter.TryStart(call_kind::watch_table, now)) {
          ++reads;
          watch_end = now + std::chrono::seconds(2);
        }
        if (now >= next_view_read && limiter.TryStart(call_kind::read_view, now)) {
          ++reads;
          next_view_read = now + std::chrono::milliseconds(500);
          limiter.Finish(call_kind::read_view, true, now);
        }
      }
      // The baseline has no views: each host renews a lease for its membership every second.
      writes += watchers_only ? 0 : kSeconds;
    }
  }
  return {.reads = reads / kSeconds, .writes = writes / kSeconds};
}

std::vector<measure> RunStoreCalls(unsigned seed) {
  std::vector<measure> measures;
  call_rates at_100;
  call_rates at_100_baseline;
  for (const int hosts : {15, 100, 500, 2500}) {
    const call_rates result = Run(hosts, true, seed);
    const call_rates baseline = Run(hosts, false, seed);
    const std::string size = std::to_string(hosts) + "_hosts";
    measures.push_back(
        {.name = "store_reads_" + size, .baseline = baseline.reads, .result = result.reads});
    measures.push_back(
        {.name = "store_writes_" + size, .baseline = baseline.writes, .result = result.writes});
    if (hosts == 100) {
      at_100 = result;
      at_100_baseline = baseline;
    }
    if (hosts == 2500) {
      measures.push_back({.name = "store_reads_growth_100_to_2500",
                          .baseline = baseline.reads / at_100_baseline.reads,
                          .result = result.reads / at_100.reads});
    }
  }
  return measures;
}

const bench_registration kRegistration{{.name = "store_calls", .run = RunStoreCalls}};

}  // namespace

}  // namespace limpetlever
