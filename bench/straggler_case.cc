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
// In about 0.87% of queries (87 x 1% x 1%) the hedge of a straggler straggles too. The sample must
// be large enough to tell that from the 1% that the 99th percentile leaves out.
constexpr int kQueries = 30'000;
// Until the percentile is learned; not counted for the percentile, but for the extra attempts.
constexpr int kLearning = 500;
constexpr double kStragglers = 0.01;
constexpr duration kMedian = std::chrono::milliseconds(5);
constexpr duration kBetweenQueries = std::chrono::milliseconds(10);
constexpr duration kTimeLimit = std::chrono::milliseconds(1000);

struct figures {
  std::vector<double> latencies;
  double attempts = 0;
};

partition_map StragglerMap() {
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
figures RunQueries(unsigned seed, const Make& make) {
  fan_out_simulation simulation(seed, kMedian, kStragglers);
  figures found;
  const auto arrivals = simulation.Arrivals(kQueries, kBetweenQueries);
  for (int query = 0; query < kQueries; ++query) {
    simulation.At(arrivals[query], [&, query] {
      const instant started = simulation.now();
      const query_request request{.id = static_cast<std::uint64_t>(query),
                                  .workload = "w",
                                  .body = nullptr,
                                  .time_limit = kTimeLimit};
      simulation.Start<Plan>(
          request.id, make(request), nullptr, [&found, &simulation, started, query](const Plan&) {
            if (query >= kLearning) {
              found.latencies.push_back(static_cast<double>((simulation.now() - started).count()));
            }
          });
    });
  }
  simulation.Run();
  for (const auto& replicas : StragglerMap().shards) {
    for (const candidate& replica : replicas) {
      found.attempts += simulation.Server(replica.replica).started;
    }
  }
  return found;
}

figures RunFanOut(unsigned seed, bool hedging) {
  const partition_map map = StragglerMap();
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
  const figures with = RunFanOut(seed, true);
  const figures without = RunFanOut(seed, false);
  const partition_map map = StragglerMap();
  random_source random(seed);
  const figures twice = RunQueries<baseline_fan_out>(seed, [&](const query_request& request) {
    return std::make_shared<baseline_fan_out>(
        request, map, baseline_fan_out::policy{.retry = true, .send_twice = true}, "dc", random);
  });
  constexpr double kFirst = static_cast<double>(kQueries) * kShards;
  return {{.name = "straggler_p99_ratio",
           .baseline = 1.0,
           .result = PercentileOf(with.latencies, 0.99) / PercentileOf(without.latencies, 0.99)},
          {.name = "straggler_extra_attempts",
           .baseline = twice.attempts / kFirst - 1.0,
           .result = with.attempts / kFirst - 1.0}};
}

const bench_registration kRegistration{{.name = "straggler", .run = Run}};

}  // namespace

}  // namespace limpetlever
