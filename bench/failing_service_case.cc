#include <algorithm>
#include <vector>

#include "baseline_fan_out.h"
#include "fan_out_simulation.h"
#include "registry.h"
#include "routing/fan_out.h"
#include "routing/replica_selector.h"
#include "routing/routing_snapshot.h"
#include "routing/service_records.h"

namespace limpetlever {

namespace {

constexpr int kShards = 80;
// The failing service is large: its retries alone would use up a budget shared by all services.
constexpr int kFailingShards = 32;
constexpr int kShardsPerService = 4;
// With 3,000 queries the 99th percentile varies by 17% between seeds, more than the bound allows
// for.
constexpr int kQueries = 12'000;
// Queries until the latency percentile is learned; they do not count for the 99th percentile.
constexpr int kWarmUpQueries = 500;
constexpr double kStragglers = 0.01;
constexpr duration kMedian = std::chrono::milliseconds(5);
constexpr duration kQueryInterval = std::chrono::milliseconds(10);
constexpr duration kTimeLimit = std::chrono::milliseconds(400);

struct run_result {
  /** Attempts of the failing service per first attempt, from the start of the run. */
  double attempts_ratio = 0;
  /** 99th percentile over the queries of the time until the last answer of the other services. */
  double others_p99 = 0;
};

/**
 * The first kFailingShards shards belong to the failing service. With `one_budget` all shards
 * belong to one service, so that they share its retry budget.
 */
partition_map ServiceMap(bool one_budget) {
  partition_map map{.version = 1, .shards = {}};
  map.shards.resize(kShards);
  for (int shard = 0; shard < kShards; ++shard) {
    const std::string service =
        shard < kFailingShards ? "failing" : std::to_string(shard / kShardsPerService);
    for (const char* copy : {"a", "b"}) {
      map.shards[shard].push_back({.replica = std::to_string(shard) + copy,
                                   .service = one_budget ? "all" : service,
                                   .data_centre = "dc",
                                   .limit = 2});
    }
  }
  return map;
}

template <typename Plan, typename Make>
run_result RunQueries(unsigned seed, const partition_map& map, bool failing, const Make& make) {
  fan_out_simulation simulation(seed, kMedian, kStragglers);
  for (int shard = 0; shard < kFailingShards; ++shard) {
    for (const candidate& replica : map.shards[shard]) {
      simulation.Server(replica.replica).failing = failing;
    }
  }
  std::vector<double> others_latencies(kQueries, 0.0);
  const auto arrivals = simulation.DrawArrivals(kQueries, kQueryInterval);
  for (int query = 0; query < kQueries; ++query) {
    simulation.Schedule(arrivals[query], [&, query] {
      const instant started = simulation.now();
      const query_request request{.id = static_cast<std::uint64_t>(query),
                                  .workload = "w",
                                  .body = nullptr,
                                  .time_limit = kTimeLimit};
      simulation.Start<Plan>(
          request.id, make(request),
          [&others_latencies, &simulation, started, query](const attempt_result& result) {
            if (result.id.shard >= kFailingShards) {
              others_latencies[query] = static_cast<double>((simulation.now() - started).count());
            }
          },
          [](const Plan&) {});
    });
  }
  simulation.Run();
  run_result outcome;
  for (int shard = 0; shard < kFailingShards; ++shard) {
    for (const candidate& replica : map.shards[shard]) {
      outcome.attempts_ratio += simulation.Server(replica.replica).started;
    }
  }
  outcome.attempts_ratio /= static_cast<double>(kQueries) * kFailingShards;
  others_latencies.erase(others_latencies.begin(), others_latencies.begin() + kWarmUpQueries);
  outcome.others_p99 = ComputePercentile(others_latencies, 0.99);
  return outcome;
}

run_result RunFanOut(unsigned seed, bool failing, bool one_budget) {
  const partition_map map = ServiceMap(one_budget);
  const auto shared_map = std::make_shared<const partition_map>(map);
  replica_selector selector("dc", seed);
  service_records services;
  return RunQueries<fan_out>(seed, map, failing, [&](const query_request& request) {
    return std::make_shared<fan_out>(request, shared_map, selector, services);
  });
}

std::vector<measure> Run(unsigned seed) {
  const run_result result = RunFanOut(seed, true, false);
  const run_result healthy = RunFanOut(seed, false, false);
  const partition_map map = ServiceMap(false);
  random_source random(seed);
  const run_result unlimited_retries =
      RunQueries<baseline_fan_out>(seed, map, true, [&](const query_request& request) {
        return std::make_shared<baseline_fan_out>(
            request, map, baseline_fan_out::policy{.retry = true}, "dc", random);
      });
  const run_result shared_budget = RunFanOut(seed, true, true);
  const run_result shared_budget_healthy = RunFanOut(seed, false, true);
  return {{.name = "failing_service_attempts_ratio",
           .baseline = unlimited_retries.attempts_ratio,
           .result = result.attempts_ratio},
          {.name = "failing_service_others_p99_ratio",
           .baseline = shared_budget.others_p99 / shared_budget_healthy.others_p99,
           .result = result.others_p99 / healthy.others_p99}};
}

const bench_registration kRegistration{{.name = "failing_service", .run = Run}};

}  // namespace

}  // namespace limpetlever
