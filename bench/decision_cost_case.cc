#include <benchmark/benchmark.h>

#include "registry.h"
#include "routing/fan_out.h"
#include "routing/replica_selector.h"
#include "routing/routing_snapshot.h"
#include "routing/service_records.h"
#include "table/operator_table.h"

namespace limpetlever {

namespace {

constexpr int kMinReplicas = 10;
constexpr int kMaxReplicas = 10'000;
constexpr int kDataCentres = 4;

std::string DataCentreName(int replica) {
  return "dc-" + std::to_string(replica % kDataCentres);
}

/** A table with one service whose replicas all hold its only shard. */
operator_table MakeTable(int replicas) {
  operator_table table;
  table.workloads.push_back({.name = "w"});
  table.services.push_back({.name = "s", .workload = "w", .slots = 2});
  for (int number = 0; number < kDataCentres; ++number) {
    table.data_centres.push_back({.name = DataCentreName(number), .region = "r"});
  }
  for (int replica = 0; replica < replicas; ++replica) {
    table.backend_servers.push_back({.address = "replica-" + std::to_string(replica),
                                     .service = "s",
                                     .data_centre = DataCentreName(replica)});
  }
  return table;
}

std::map<std::string, replica_status> MakeStatuses(const operator_table& table) {
  std::map<std::string, replica_status> statuses;
  for (const backend_server_row& server : table.backend_servers) {
    statuses[server.address] = {.address = server.address,
                                .usable = true,
                                .limit = 2,
                                .cold = false,
                                .versions = {{.version = 1, .shard_count = 1, .shards = {0}}}};
  }
  return statuses;
}

std::vector<candidate> MakeCandidates(int replicas) {
  const operator_table table = MakeTable(replicas);
  return BuildRoutingSnapshot(table, MakeStatuses(table)).workloads.at("w").front().shards.front();
}

/** Mean number of candidates examined per choice while half of all replicas are busy. */
double StepsPerChoice(int replicas, unsigned seed) {
  const std::vector<candidate> candidates = MakeCandidates(replicas);
  replica_selector selector(DataCentreName(0), seed);
  std::vector<std::string> busy;
  constexpr int kChoices = 20'000;
  for (int choice = 0; choice < kChoices; ++choice) {
    const candidate* chosen =
        selector.Choose(candidates, {}, attempt_purpose::first, instant(duration(choice)));
    selector.OnSent(chosen->replica);
    busy.push_back(chosen->replica);
    if (busy.size() > candidates.size() / 2) {
      selector.OnFinished(busy[busy.size() - 1 - candidates.size() / 2],
                          std::chrono::milliseconds(1));
    }
  }
  return static_cast<double>(selector.examined_candidates()) / kChoices;
}

std::vector<measure> Run(unsigned seed) {
  // The baseline compares all replicas for each choice.
  return {{.name = "decision_steps_growth",
           .baseline = static_cast<double>(kMaxReplicas) / kMinReplicas,
           .result = StepsPerChoice(kMaxReplicas, seed) / StepsPerChoice(kMinReplicas, seed)}};
}

const bench_registration kRegistration{{.name = "decision_cost", .run = Run}};

void SubQuery(benchmark::State& state) {
  const std::vector<candidate> candidates = MakeCandidates(static_cast<int>(state.range(0)));
  constexpr int kShards = 87;
  const auto map = std::make_shared<const partition_map>(partition_map{
      .version = 1, .shards = std::vector<std::vector<candidate>>(kShards, candidates)});
  replica_selector selector(DataCentreName(0), 1);
  service_records services;
  std::int64_t now_us = 0;
  for (auto _ : state) {
    fan_out plan({.id = 1, .workload = "w", .time_limit = std::chrono::seconds(1)}, map, selector,
                 services);
    const auto actions = plan.Start(instant(duration(now_us)));
    now_us += 1000;
    for (const fan_out_action& action : actions) {
      benchmark::DoNotOptimize(plan.OnResult({.id = action.attempt.id,
                                              .replica = action.attempt.replica,
                                              .outcome = Ran(),
                                              .snapshot_version = 1},
                                             instant(duration(now_us))));
    }
  }
  state.SetItemsProcessed(state.iterations() * kShards);
}
BENCHMARK(SubQuery)->RangeMultiplier(10)->Range(kMinReplicas, kMaxReplicas);

void TableChangePerReplica(benchmark::State& state) {
  const operator_table table = MakeTable(static_cast<int>(state.range(0)));
  const auto statuses = MakeStatuses(table);
  replica_selector selector(DataCentreName(0), 1);
  for (auto _ : state) {
    benchmark::DoNotOptimize(BuildRoutingSnapshot(table, statuses));
    selector.SetTable(table, instant{});
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(TableChangePerReplica)->RangeMultiplier(10)->Range(kMinReplicas, kMaxReplicas);

}  // namespace

}  // namespace limpetlever
