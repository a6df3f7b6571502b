#include "events/timeline.h"

#include <algorithm>
#include <queue>
#include <utility>

#include "events/cause_pairs.h"

namespace limpetlever {

timeline MergeTimeline(const std::vector<host_fetch>& fetches) {
  timeline merged{.entries = {}, .offsets = EstimateOffsets(fetches)};
  std::vector<timeline_entry> entries;
  std::vector<event> events;
  std::vector<std::vector<std::size_t>> effects;
  std::vector<int> unmerged_causes;
  const auto link = [&](std::size_t cause, std::size_t effect) {
    effects[cause].push_back(effect);
    ++unmerged_causes[effect];
  };
  for (std::size_t i = 0; i < fetches.size(); ++i) {
    std::vector<event> sorted = fetches[i].report.events;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const event& a, const event& b) { return a.sequence < b.sequence; });
    bool is_first = true;
    for (event& entry : sorted) {
      effects.emplace_back();
      unmerged_causes.push_back(0);
      if (!is_first) {
        link(entries.size() - 1, entries.size());
      }
      is_first = false;
      events.push_back(entry);
      const wall_time time = entry.time - merged.offsets[i].offset;
      entries.push_back({std::move(entry), fetches[i].report.data_centre, time});
    }
  }
  for (const cause_pair& pair : FindCausePairs(events)) {
    link(pair.cause, pair.effect);
  }
  using ready_event = std::pair<wall_time, std::size_t>;
  std::priority_queue<ready_event, std::vector<ready_event>, std::greater<>> ready;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (unmerged_causes[i] == 0) {
      ready.emplace(entries[i].time, i);
    }
  }
  std::vector<bool> is_merged(entries.size(), false);
  while (merged.entries.size() < entries.size()) {
    if (ready.empty()) {
      // The causes form a cycle, for example because two hosts have the same name: continue with
      // the earliest event that is left.
      std::size_t earliest = entries.size();
      for (std::size_t i = 0; i < entries.size(); ++i) {
        if (!is_merged[i] &&
            (earliest == entries.size() || entries[i].time < entries[earliest].time)) {
          earliest = i;
        }
      }
      unmerged_causes[earliest] = 0;
      ready.emplace(entries[earliest].time, earliest);
    }
    const std::size_t next = ready.top().second;
    ready.pop();
    is_merged[next] = true;
    for (const std::size_t effect : effects[next]) {
      if (is_merged[effect]) {
        continue;
      }
      entries[effect].time = std::max(entries[effect].time, entries[next].time);
      if (--unmerged_causes[effect] == 0) {
        ready.emplace(entries[effect].time, effect);
      }
    }
    merged.entries.push_back(entries[next]);
  }
  return merged;
}

}  // namespace limpetlever
