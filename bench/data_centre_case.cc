#include <algorithm>
#include <vector>

#include "baseline_fan_out.h"
#include "fan_out_simulation.h"
#include "registry.h"
#include "routing/fan_out.h"
#include "routing/replica_selector.h"
#include "routing/routing_snapshot.h"
#include "routing/service_records.h"
#include "table/operator_table.h"

namespace limpetlever {

namespace {

/** Size of the fan-out workload of one user (design section 1). */
struct user_size {
  std::string name;
  int data_centres = 0;
  int services = 20;
  /** Added to the latency of each answer from another data centre. */
  duration remote_latency{};
};

constexpr duration kMedian = std::chrono::milliseconds(5);
constexpr duration kQueryInterval = std::chrono::milliseconds(10);
constexpr duration kTimeLimit = std::chrono::milliseconds(170);
constexpr std::int64_t kQueries = 12'000;
// Queries count from here on, when the latency percentile of each service has been learned.
constexpr instant kMeasuredFrom(std::chrono::seconds(10));
// The operators take data centre 0 out.
constexpr instant kTakenOutAt(std::chrono::seconds(40));
// Delay until an edit is in force: the bound for the last of 15 hosts.
constexpr duration kEditDelay = std::chrono::seconds(1);
// The servers of the data centre fail every attempt between these two instants.
constexpr instant kFailingFrom(std::chrono::seconds(45));
constexpr instant kFailingUntil(std::chrono::seconds(65));
// The operators take the data centre in again.
constexpr instant kTakenInAt(std::chrono::seconds(70));
// Until then each restarted server runs one request at a time, the limit that its owner sets.
constexpr instant kWarmAt(std::chrono::seconds(90));

struct run_result {
  /** Lowest coverage of a query: the share of the shards in its answer. */
  double coverage = 1.0;
  /** The higher 99th percentile of the latency while out or taken in again, relative to before. */
  double p99_ratio = 0.0;
  /** From when data centre 0 is taken out to the last attempt sent there while it is out. */
  double last_new_work_s = 0.0;
};

std::string DataCentreName(int number) {
  return "dc-" + std::to_string(number);
}

/**
 * One shard per service with a replica in each of two data centres, but none in data centre
 * `excluded`. If `cold`, the replicas in data centre 0 are cold and have a limit of 1.
 */
partition_map MakeUserMap(const user_size& user, const std::string& excluded, bool cold) {
  partition_map map{.version = 1, .shards = {}};
  map.shards.resize(user.services);
  for (int shard = 0; shard < user.services; ++shard) {
    for (int copy = 0; copy < 2; ++copy) {
      const std::string data_centre_name = DataCentreName((shard + copy) % user.data_centres);
      const bool is_cold = cold && data_centre_name == DataCentreName(0);
      if (data_centre_name != excluded) {
        map.shards[shard].push_back({.replica = std::to_string(shard) + "@" + data_centre_name,
                                     .service = std::to_string(shard),
                                     .data_centre = data_centre_name,
                                     .limit = is_cold ? 1 : 2,
                                     .cold = is_cold});
      }
    }
    std::ranges::sort(map.shards[shard], {}, &candidate::data_centre);
  }
  return map;
}

/** The operators' table for these replicas; `out`: data centre 0 is taken out. */
operator_table MakeUserTable(const user_size& user, bool out) {
  operator_table table;
  for (int number = 0; number < user.data_centres; ++number) {
    table.data_centres.push_back({.name = DataCentreName(number),
                                  .region = "r",
                                  .weight = 1.0,
                                  .taken_out = out && number == 0});
  }
  for (const auto& replicas : MakeUserMap(user, "", false).shards) {
    for (const candidate& replica : replicas) {
      table.backend_servers.push_back({.address = replica.replica,
                                       .service = replica.service,
                                       .data_centre = replica.data_centre});
    }
  }
  return table;
}

/**
 * Runs kQueries queries through the outage of data centre 0. `make` returns a new plan;
 * `get_coverage` returns the share of the shards that are in its answer.
 */
template <typename Plan, typename Make, typename CoverageFunction>
run_result RunQueries(const user_size& user,
                      fan_out_simulation& simulation,
                      const Make& make,
                      const CoverageFunction& get_coverage) {
  std::vector<std::string> affected;
  for (const auto& replicas : MakeUserMap(user, "", false).shards) {
    for (const candidate& replica : replicas) {
      auto& server = simulation.Server(replica.replica);
      server.extra_latency =
          replica.data_centre == DataCentreName(0) ? duration{} : user.remote_latency;
      if (replica.data_centre == DataCentreName(0)) {
        affected.push_back(replica.replica);
      }
    }
  }
  const auto schedule_state = [&simulation, &affected](instant time, int limit, bool failing) {
    simulation.Schedule(time, [&simulation, &affected, limit, failing] {
      for (const std::string& address : affected) {
        simulation.Server(address).limit = limit;
        simulation.Server(address).failing = failing;
      }
    });
  };
  schedule_state(kFailingFrom, 2, true);
  schedule_state(kFailingUntil, 1, false);
  schedule_state(kWarmAt, 2, false);

  run_result outcome;
  simulation.Schedule(kTakenInAt - duration(1), [&] {
    for (const std::string& address : affected) {
      const double last_s =
          std::chrono::duration<double>(simulation.Server(address).last_attempt - kTakenOutAt)
              .count();
      outcome.last_new_work_s = std::max(outcome.last_new_work_s, last_s);
    }
  });
  // Latencies before data centre 0 is taken out, while it is out, and after it is taken in, when
  // its servers are first cold and then warm.
  std::vector<double> before;
  std::vector<double> out;
  std::vector<double> after;
  const auto arrivals = simulation.DrawArrivals(kQueries, kQueryInterval);
  for (std::int64_t query = 0; query < kQueries; ++query) {
    simulation.Schedule(arrivals[query], [&, query] {
      const instant started = simulation.now();
      const query_request request{.id = static_cast<std::uint64_t>(query),
                                  .workload = "w",
                                  .body = nullptr,
                                  .time_limit = kTimeLimit};
      simulation.Start<Plan>(request.id, make(request), nullptr, [&, started](const Plan& plan) {
        const auto elapsed = static_cast<double>((simulation.now() - started).count());
        if (started >= kMeasuredFrom) {
          (started < kTakenOutAt ? before : started < kTakenInAt ? out : after).push_back(elapsed);
        }
        outcome.coverage = std::min(outcome.coverage, get_coverage(plan));
      });
    });
  }
  simulation.Run();
  outcome.p99_ratio = std::max(ComputePercentile(out, 0.99), ComputePercentile(after, 0.99)) /
                      ComputePercentile(before, 0.99);
  return outcome;
}

run_result RunFanOut(const user_size& user, unsigned seed) {
  fan_out_simulation simulation(seed, kMedian, 0.0);
  replica_selector selector(DataCentreName(0), seed);
  service_records services;
  auto map = std::make_shared<const partition_map>(MakeUserMap(user, "", false));
  const auto schedule_edit = [&](instant time, partition_map next, bool out) {
    simulation.Schedule(time, [&, next = std::move(next), out] {
      map = std::make_shared<const partition_map>(next);
      selector.SetTable(MakeUserTable(user, out), simulation.now());
    });
  };
  schedule_edit(instant{}, *map, false);
  schedule_edit(kTakenOutAt + kEditDelay, MakeUserMap(user, DataCentreName(0), false), true);
  schedule_edit(kTakenInAt + kEditDelay, MakeUserMap(user, "", true), false);
  schedule_edit(kWarmAt + kEditDelay, MakeUserMap(user, "", false), false);
  return RunQueries<fan_out>(
      user, simulation,
      [&](const query_request& request) {
        return std::make_shared<fan_out>(request, map, selector, services);
      },
      [](const fan_out& plan) {
        const query_answer answer = plan.Answer({});
        return static_cast<double>(answer.answers.size()) / answer.shard_count;
      });
}

run_result RunPlain(const user_size& user, unsigned seed) {
  fan_out_simulation simulation(seed, kMedian, 0.0);
  const partition_map map = MakeUserMap(user, "", false);
  random_source random(seed);
  return RunQueries<baseline_fan_out>(
      user, simulation,
      [&](const query_request& request) {
        return std::make_shared<baseline_fan_out>(request, map, baseline_fan_out::policy{},
                                                  DataCentreName(0), random);
      },
      [](const baseline_fan_out& plan) { return plan.IsComplete() ? 1.0 : 0.0; });
}

std::vector<measure> Run(unsigned seed) {
  std::vector<measure> measures;
  for (const user_size& user : {user_size{.name = "co_operative",
                               .data_centres = 4,
                               .remote_latency = std::chrono::milliseconds(1)},
                                user_size{.name = "tinig",
                                .data_centres = 3,
                                .remote_latency = std::chrono::microseconds(500)}}) {
    const run_result baseline = RunPlain(user, seed);
    const run_result result = RunFanOut(user, seed);
    const std::string prefix = "data_centre_" + user.name;
    measures.push_back({prefix + "_coverage", baseline.coverage, result.coverage});
    measures.push_back({prefix + "_p99_ratio", baseline.p99_ratio, result.p99_ratio});
    measures.push_back(
        {prefix + "_last_new_work_s", baseline.last_new_work_s, result.last_new_work_s});
  }
  return measures;
}

const bench_registration kRegistration{{.name = "data_centre", .run = Run}};

}  // namespace

}  // namespace limpetlever
