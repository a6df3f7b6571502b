#include "events/clock_offset.h"

#include <algorithm>
#include <map>
#include <utility>

#include "events/cause_pairs.h"

namespace limpetlever {

namespace {

/** Range of the offset of one host. */
struct offset_bounds {
  duration min;
  duration max;
};

/**
 * By the indexes of two hosts, that of the cause first: the largest possible value of the effect
 * host's offset minus the cause host's offset.
 */
using difference_bounds = std::map<std::pair<std::size_t, std::size_t>, duration>;

difference_bounds FindDifferenceBounds(const std::vector<host_fetch>& fetches) {
  std::vector<event> events;
  std::vector<std::size_t> host_indexes;
  for (std::size_t i = 0; i < fetches.size(); ++i) {
    for (const event& entry : fetches[i].report.events) {
      events.push_back(entry);
      host_indexes.push_back(i);
    }
  }
  difference_bounds differences;
  for (const cause_pair& pair : FindCausePairs(events)) {
    const auto hosts = std::pair(host_indexes[pair.cause], host_indexes[pair.effect]);
    if (hosts.first == hosts.second) {
      continue;
    }
    const duration max_difference = events[pair.effect].time - events[pair.cause].time;
    const auto [known_bound, is_new] = differences.emplace(hosts, max_difference);
    known_bound->second = std::min(known_bound->second, max_difference);
  }
  return differences;
}

}  // namespace

std::vector<clock_offset> EstimateOffsets(const std::vector<host_fetch>& fetches) {
  std::vector<offset_bounds> fetch_bounds;
  for (const host_fetch& fetch : fetches) {
    fetch_bounds.push_back(
        {fetch.report.now - fetch.response_time, fetch.report.now - fetch.request_time});
  }
  std::vector<offset_bounds> combined_bounds = fetch_bounds;
  const difference_bounds differences = FindDifferenceBounds(fetches);
  // Each round passes a bound on by one host, so one round per host is enough to reach all hosts.
  for (std::size_t round = 0; round < fetches.size(); ++round) {
    for (const auto& [hosts, max_difference] : differences) {
      offset_bounds& cause = combined_bounds[hosts.first];
      offset_bounds& effect = combined_bounds[hosts.second];
      effect.max = std::min(effect.max, cause.max + max_difference);
      cause.min = std::max(cause.min, effect.min - max_difference);
    }
  }
  std::vector<clock_offset> offsets;
  for (std::size_t i = 0; i < fetches.size(); ++i) {
    const offset_bounds& range =
        combined_bounds[i].min <= combined_bounds[i].max ? combined_bounds[i] : fetch_bounds[i];
    offsets.push_back({.host = fetches[i].report.host,
                       .offset = (range.min + range.max) / 2,
                       .uncertainty = (range.max - range.min + duration(1)) / 2});
  }
  return offsets;
}

}  // namespace limpetlever
