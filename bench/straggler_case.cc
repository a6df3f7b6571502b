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

constexpr int kShards = 87;
constexpr int kShardsPerService = 3;
// In about 0.87% of queries (87 x 1% x 1%) the hedge of a straggler is a straggler too. The sample
// must be large enough to tell that from the 1% that the 99th percentile leaves out.
constexpr int kQueries = 30'000;
// Queries until the latency percentile for hedging is learned. They count for the extra attempts
// but not for the 99th percentile.
constexpr int kWarmUpQueries = 500;
constexpr double kStragglerShare = 0.01;
constexpr duration kMedian = std::chrono::milliseconds(5);
constexpr duration kQueryInterval = std::chrono::milliseconds(10);
constexpr duration kTimeLimit = std::chrono::milliseconds(1000);

struct run_result {
  /** In microseconds, without the first kWarmUpQueries queries. */
  std::vector<double> latencies;
  double attempts = 0;
};

partition_map MakeStragglerMap() {
  partition_map map{.version = 1, .shards = {}};
  map.shards.resize(kShards);
  for (int shard = 0; shard < kShards; ++shard) {
    for (const char* copy : {"a", "b"}) {
      map.shards[shard].push_back({.replica = std::to_string(shard) + copy,
                                   .service = std::to_string(shard / kShardsPerService),
                                   .data_centre = "dc",
                                   .limit = 2});
    }
  }
  return map;
}

template <typename Plan, typename Make>
run_result RunQueries(unsigned seed, const Make& make) {
  fan_out_simulation simulation(seed, kMedian, kStragglerShare);
  run_result outcome;
  const auto arrivals = simulation.DrawArrivals(kQueries, kQueryInterval);
  for (int query = 0; query < kQueries; ++query) {
    simulation.Schedule(arrivals[query], [&, query] {
      const instant started = simulation.now();
      const query_request request{.id = static_cast<std::uint64_t>(query),
                                  .workload = "w",
                                  .body = nullptr,
                                  .time_limit = kTimeLimit};
      simulation.Start<Plan>(request.id, make(request), nullptr,
                             [&outcome, &simulation, started, query](const Plan&) {
                               if (query >= kWarmUpQueries) {
                                 outcome.latencies.push_back(
                                     static_cast<double>((simulation.now() - started).count()));
                               }
                             });
    });
  }
  simulation.Run();
  for (const auto& replicas : MakeStragglerMap().shards) {
    for (const candidate& replica : replicas) {
      outcome.attempts += simulation.Server(replica.replica).started;
    }
  }
  return outcome;
}

run_result RunFanOut(unsigned seed, bool hedging) {
  const partition_map map = MakeStragglerMap();
  const auto shared_map = std::make_shared<const partition_map>(map);
  replica_selector selector("dc", seed);
  service_records services;
  return RunQueries<fan_out>(seed, [&](query_request request) {
    // Only idempotent sub-queries are hedged.
    request.idempotent = hedging;
    return std::make_shared<fan_out>(request, shared_map, selector, services);
  });
}

std::vector<measure> Run(unsigned seed) {
  const run_result hedged = RunFanOut(seed, true);
  const run_result unhedged = RunFanOut(seed, false);
  const partition_map map = MakeStragglerMap();
  random_source random(seed);
  const run_result sent_twice =
      RunQueries<baseline_fan_out>(seed, [&](const query_request& request) {
        return std::make_shared<baseline_fan_out>(
            request, map, baseline_fan_out::policy{.retry = true, .send_twice = true}, "dc",
            random);
      });
  constexpr double kFirstAttempts = static_cast<double>(kQueries) * kShards;
  return {{.name = "straggler_p99_ratio",
           .baseline = 1.0,
           .result = ComputePercentile(hedged.latencies, 0.99) /
                     ComputePercentile(unhedged.latencies, 0.99)},
          {.name = "straggler_extra_attempts",
           .baseline = sent_twice.attempts / kFirstAttempts - 1.0,
           .result = hedged.attempts / kFirstAttempts - 1.0}};
}

const bench_registration kRegistration{{.name = "straggler", .run = Run}};

}  // namespace

}  // namespace limpetlever
