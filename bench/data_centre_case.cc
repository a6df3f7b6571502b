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

/** Sizes of one user's fan-out workload (design section 1). */
struct user_sizes {
  std::string name;
  int data_centres = 0;
  int services = 20;
  /** Added to each answer from another data centre. */
  duration distance{};
};

constexpr duration kMedian = std::chrono::milliseconds(5);
constexpr duration kBetweenQueries = std::chrono::milliseconds(10);
constexpr duration kTimeLimit = std::chrono::milliseconds(170);
constexpr std::int64_t kQueries = 12'000;
// Measured from when the percentile is learned.
constexpr instant kQuietFrom(std::chrono::seconds(10));
constexpr instant kOut(std::chrono::seconds(40));
// The bound for an edit to be in force on the last of 15 hosts.
constexpr duration kEditDelay = std::chrono::seconds(1);
constexpr instant kDark(std::chrono::seconds(45));
constexpr instant kLit(std::chrono::seconds(65));
constexpr instant kBack(std::chrono::seconds(70));
// Servers that come back run one request at a time until then: their owner's limit.
constexpr instant kWarm(std::chrono::seconds(90));

struct figures {
  double coverage = 1.0;
  double p99_ratio = 0.0;
  double last_new_work_s = 0.0;
};

std::string CentreName(int number) {
  return "dc-" + std::to_string(number);
}

/** One shard per service with a replica in each of two data centres; `without` holds none. */
partition_map UserMap(const user_sizes& user, const std::string& without, bool cold) {
  partition_map map{.version = 1, .shards = {}};
  map.shards.resize(user.services);
  for (int shard = 0; shard < user.services; ++shard) {
    for (int copy = 0; copy < 2; ++copy) {
      const std::string centre = CentreName((shard + copy) % user.data_centres);
      const bool is_cold = cold && centre == CentreName(0);
      if (centre != without) {
        map.shards[shard].push_back({.replica = std::to_string(shard) + "@" + centre,
                                     .service = std::to_string(shard),
                                     .data_centre = centre,
                                     .limit = is_cold ? 1 : 2,
                                     .cold = is_cold});
      }
    }
    std::ranges::sort(map.shards[shard], {}, &candidate::data_centre);
  }
  return map;
}

operator_table UserTable(const user_sizes& user, bool out) {
  operator_table table;
  for (int centre = 0; centre < user.data_centres; ++centre) {
    table.data_centres.push_back({.name = CentreName(centre),
                                  .region = "r",
                                  .weight = 1.0,
                                  .taken_out = out && centre == 0});
  }
  for (const auto& replicas : UserMap(user, "", false).shards) {
    for (const candidate& replica : replicas) {
      table.backend_servers.push_back({.address = replica.replica,
                                       .service = replica.service,
                                       .data_centre = replica.data_centre});
    }
  }
  return table;
}

/** `make` returns a new plan; `is_complete` says whether its answer has all shards. */
template <typename Plan, typename Make, typename IsComplete>
figures RunQueries(const user_sizes& user,
                   fan_out_simulation& simulation,
                   const Make& make,
                   const IsComplete& is_complete) {
  std::vector<std::string> leaving;
  for (const auto& replicas : UserMap(user, "", false).shards) {
    for (const candidate& replica : replicas) {
      auto& server = simulation.Server(replica.replica);
      server.distance = replica.data_centre == CentreName(0) ? duration{} : user.distance;
      if (replica.data_centre == CentreName(0)) {
        leaving.push_back(replica.replica);
      }
    }
  }
  const auto change = [&simulation, &leaving](instant time, int limit, bool failing) {
    simulation.At(time, [&simulation, &leaving, limit, failing] {
      for (const std::string& address : leaving) {
        simulation.Server(address).limit = limit;
        simulation.Server(address).failing = failing;
      }
    });
  };
  change(kDark, 2, true);
  change(kLit, 1, false);
  change(kWarm, 2, false);

  figures found;
  simulation.At(kBack - duration(1), [&] {
    for (const std::string& address : leaving) {
      const double since =
          std::chrono::duration<double>(simulation.Server(address).last_attempt - kOut).count();
      found.last_new_work_s = std::max(found.last_new_work_s, since);
    }
  });
  // The quiet run, out, and back with its servers cold and then warm.
  std::vector<double> quiet;
  std::vector<double> out;
  std::vector<double> back;
  const auto arrivals = simulation.Arrivals(kQueries, kBetweenQueries);
  for (std::int64_t query = 0; query < kQueries; ++query) {
    simulation.At(arrivals[query], [&, query] {
      const instant started = simulation.now();
      const query_request request{.id = static_cast<std::uint64_t>(query),
                                  .workload = "w",
                                  .body = nullptr,
                                  .time_limit = kTimeLimit};
      simulation.Start<Plan>(request.id, make(request), nullptr, [&, started](const Plan& plan) {
        const auto elapsed = static_cast<double>((simulation.now() - started).count());
        if (started >= kQuietFrom) {
          (started < kOut ? quiet : started < kBack ? out : back).push_back(elapsed);
        }
        found.coverage = std::min(found.coverage, is_complete(plan));
      });
    });
  }
  simulation.Run();
  found.p99_ratio =
      std::max(PercentileOf(out, 0.99), PercentileOf(back, 0.99)) / PercentileOf(quiet, 0.99);
  return found;
}

figures RunFanOut(const user_sizes& user, unsigned seed) {
  fan_out_simulation simulation(seed, kMedian, 0.0);
  replica_selector selector(CentreName(0), seed);
  service_records services;
  auto map = std::make_shared<const partition_map>(UserMap(user, "", false));
  const auto take = [&](instant time, partition_map next, bool out) {
    simulation.At(time, [&, next = std::move(next), out] {
      map = std::make_shared<const partition_map>(next);
      selector.SetTable(UserTable(user, out), simulation.now());
    });
  };
  take(instant{}, *map, false);
  take(kOut + kEditDelay, UserMap(user, CentreName(0), false), true);
  take(kBack + kEditDelay, UserMap(user, "", true), false);
  take(kWarm + kEditDelay, UserMap(user, "", false), false);
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

figures RunPlain(const user_sizes& user, unsigned seed) {
  fan_out_simulation simulation(seed, kMedian, 0.0);
  const partition_map map = UserMap(user, "", false);
  random_source random(seed);
  return RunQueries<baseline_fan_out>(
      user, simulation,
      [&](const query_request& request) {
        return std::make_shared<baseline_fan_out>(request, map, baseline_fan_out::policy{},
                                                  CentreName(0), random);
      },
      [](const baseline_fan_out& plan) { return plan.IsComplete() ? 1.0 : 0.0; });
}

std::vector<measure> Run(unsigned seed) {
  std::vector<measure> measures;
  for (const user_sizes& user :
       {user_sizes{
            .name = "co_operative", .data_centres = 4, .distance = std::chrono::milliseconds(1)},
        user_sizes{
            .name = "tinig", .data_centres = 3, .distance = std::chrono::microseconds(500)}}) {
    const figures plain = RunPlain(user, seed);
    const figures result = RunFanOut(user, seed);
    const std::string prefix = "data_centre_" + user.name;
    measures.push_back({prefix + "_coverage", plain.coverage, result.coverage});
    measures.push_back({prefix + "_p99_ratio", plain.p99_ratio, result.p99_ratio});
    measures.push_back(
        {prefix + "_last_new_work_s", plain.last_new_work_s, result.last_new_work_s});
  }
  return measures;
}

const bench_registration kRegistration{{.name = "data_centre", .run = Run}};

}  // namespace

}  // namespace limpetlever
