#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "base/random_source.h"
#include "limits/connection_health.h"
#include "registry.h"

namespace limpetlever {

namespace {

struct silence_outcome {
  /** Sub-queries without an answer within their time limit. */
  int lost = 0;
  /** 99th percentile of the latency; a lost sub-query counts with its time limit. */
  duration p99{};
};

/**
 * Sends idempotent sub-queries to one server over up to 12 connections for half an hour; about 8
 * are in use at a time. With the 50 connections that are typical it would take hours until all are
 * silent. Each connection becomes silent with the given probability per minute: it stays open, but
 * no answer arrives on it. A sub-query waits for a connection and is sent again if its connection
 * is dropped. It is lost if it has no answer within 2 s. Without `has_health`, the baseline,
 * nothing is dropped.
 */
silence_outcome RunSilence(double silent_per_minute, bool has_health, unsigned seed) {
  constexpr int kConnections = 12;
  constexpr duration kConnectionCost = std::chrono::milliseconds(6);
  constexpr duration kStep = std::chrono::milliseconds(1);
  constexpr duration kTimeLimit = std::chrono::seconds(2);
  constexpr duration kRunTime = std::chrono::minutes(30);
  struct query {
    instant arrived_at;
    std::uint64_t connection = 0;  // generation of its connection; 0: waits for one
    instant answer_at = instant::max();
  };
  random_source random(seed);
  connection_health health(kConnectionCost, kConnections);
  std::set<std::uint64_t> silent;
  std::map<std::uint64_t, instant> idle;  // open ones without a query, by when usable
  std::set<std::uint64_t> open;
  std::vector<query> queries;
  std::vector<duration> latencies;
  std::uint64_t generation = 0;
  silence_outcome outcome;
  for (instant now{}; now < instant(kRunTime); now += kStep) {
    constexpr double kStepsPerMinute = 60'000.0;
    for (const std::uint64_t item : open) {
      if (random.Unit() < silent_per_minute / kStepsPerMinute) {
        silent.insert(item);
      }
    }
    if (random.Unit() < 0.4) {
      queries.push_back({.arrived_at = now});
    }
    for (query& item : queries) {
      if (item.connection == 0) {
        const auto usable = std::find_if(idle.begin(), idle.end(),
                                         [now](const auto& entry) { return entry.second <= now; });
        if (usable != idle.end()) {
          item.connection = usable->first;
          idle.erase(usable);
          health.OnUsed(item.connection, now);
          const duration service_time = std::chrono::milliseconds(10 + random.Below(21));
          item.answer_at = now + service_time;
        } else if (health.MayOpen(now)) {
          health.OnOpening(++generation, now);
          open.insert(generation);
          idle.emplace(generation, now + kConnectionCost);
        }
      }
    }
    std::erase_if(queries, [&](const query& item) {
      if (item.connection != 0 && item.answer_at <= now && !silent.contains(item.connection)) {
        health.OnFinished(item.connection, now);
        idle.emplace(item.connection, now);
        latencies.push_back(now - item.arrived_at);
        return true;
      }
      if (now - item.arrived_at >= kTimeLimit) {
        ++outcome.lost;
        latencies.push_back(kTimeLimit);
        return true;  // its connection, if any, stays in use: the answer may still arrive
      }
      return false;
    });
    if (!has_health) {
      continue;
    }
    for (const connection_drop& drop : health.TakeDrops(now)) {
      open.erase(drop.generation);
      idle.erase(drop.generation);
      for (query& item : queries) {
        if (item.connection == drop.generation) {
          item.connection = 0;
          item.answer_at = instant::max();
        }
      }
    }
  }
  const auto rank = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() * 99 / 100);
  std::nth_element(latencies.begin(), rank, latencies.end());
  outcome.p99 = *rank;
  return outcome;
}

std::vector<measure> SilentConnections(unsigned seed) {
  constexpr double kSilentPerMinute = 0.05;  // one connection in 20 per minute
  const silence_outcome healthy = RunSilence(0.0, true, seed);
  const silence_outcome baseline = RunSilence(kSilentPerMinute, false, seed);
  const silence_outcome result = RunSilence(kSilentPerMinute, true, seed);
  const auto ratio = [&healthy](const silence_outcome& run) {
    return static_cast<double>(run.p99.count()) / static_cast<double>(healthy.p99.count());
  };
  return {
      {"silent_queries_lost", static_cast<double>(baseline.lost), static_cast<double>(result.lost)},
      {"silent_p99_ratio", ratio(baseline), ratio(result)}};
}

const bench_registration kRegistration{{"silent_connections", SilentConnections}};

}  // namespace

}  // namespace limpetlever
