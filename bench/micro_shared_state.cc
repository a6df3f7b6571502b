// Cost of the state that every host holds, in time and memory per row: the table, the routing
// snapshot, ownership and gossip.
#include <benchmark/benchmark.h>

#include <memory>

#include "control/gossip_map.h"
#include "heap_bytes.h"
#include "ownership/ownership_view.h"
#include "routing/routing_snapshot.h"
#include "table/table_json.h"

namespace limpetlever {

namespace {

std::string MakeAddress(std::int64_t i) {
  return "10." + std::to_string(i / 62500) + "." + std::to_string(i / 250 % 250) + "." +
         std::to_string(i % 250) + ":9000";
}

/** A table of one workload whose services have two replicas each. */
operator_table MakeTable(std::int64_t replicas) {
  operator_table table{
      .version = 1,
      .workloads = {{.name = "matching"}},
      .services = {},
      .data_centres = {{.name = "east", .region = "r"}, {.name = "north", .region = "r"}},
      .backend_servers = {},
      .taken_out_hosts = {},
      .edits = {}};
  for (std::int64_t i = 0; i < replicas; ++i) {
    const std::string service = "matching-" + std::to_string(i / 2);
    if (i % 2 == 0) {
      table.services.push_back({.name = service,
                                .workload = "matching",
                                .slots = 2,
                                .connections = 50,
                                .connection_cost_ms = 6});
    }
    table.backend_servers.push_back({.address = MakeAddress(i),
                                     .service = service,
                                     .data_centre = i % 2 == 0 ? "east" : "north"});
  }
  return *ValidateTable(std::move(table), "bench");
}

std::map<std::string, replica_status> MakeStatuses(std::int64_t replicas) {
  std::map<std::string, replica_status> statuses;
  for (std::int64_t i = 0; i < replicas; ++i) {
    statuses[MakeAddress(i)] = {.address = MakeAddress(i),
                                .instance_id = "1234567890",
                                .usable = true,
                                .limit = 2,
                                .cold = false,
                                .versions = {{.version = 7,
                                              .shard_count = static_cast<int>(replicas + 1) / 2,
                                              .shards = {static_cast<int>(i / 2)}}}};
  }
  return statuses;
}

ownership_view MakeView(std::int64_t members) {
  ownership_view view{.epoch = 1, .members = {}};
  for (std::int64_t i = 0; i < members; ++i) {
    view.members.push_back({.name = "host-" + std::to_string(i),
                            .data_centre = i % 2 == 0 ? "east" : "north",
                            .incarnation = 1});
  }
  return view;
}

void ParseTable(benchmark::State& state) {
  const std::string text = FormatTableJson(MakeTable(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(ParseTableJson(text, "bench"));
  }
  const std::size_t before = HeapBytes();
  const auto table = std::make_unique<operator_table>(*ParseTableJson(text, "bench"));
  state.counters["memory"] = static_cast<double>(HeapBytes() - before);
  state.counters["items"] = static_cast<double>(state.range(0));
  state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ParseTable)->RangeMultiplier(10)->Range(10, 100'000);

void RoutingSnapshotBuild(benchmark::State& state) {
  const operator_table table = MakeTable(state.range(0));
  const auto statuses = MakeStatuses(state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(BuildRoutingSnapshot(table, statuses));
  }
  const std::size_t before = HeapBytes();
  const auto snapshot = std::make_unique<routing_snapshot>(BuildRoutingSnapshot(table, statuses));
  state.counters["memory"] = static_cast<double>(HeapBytes() - before);
  state.counters["items"] = static_cast<double>(state.range(0));
}
BENCHMARK(RoutingSnapshotBuild)->RangeMultiplier(10)->Range(10, 100'000);

/** Finds the owner of one replica; the argument is the number of members of the region. */
void FindReplicaOwner(benchmark::State& state) {
  const ownership_view view = MakeView(state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(FindOwner(view, "10.0.0.1:9000", "east"));
  }
  state.counters["items"] = static_cast<double>(state.range(0));
}
BENCHMARK(FindReplicaOwner)->RangeMultiplier(5)->Range(3, 400);

/**
 * Work of both sides in one gossip exchange: the digest and its comparison. The argument is the
 * number of entries.
 */
void GossipCompare(benchmark::State& state) {
  const std::size_t before = HeapBytes();
  gossip_map map;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    map.Put({.key = "status/host-" + std::to_string(i),
             .incarnation = 1,
             .version = 1,
             .value = std::string(400, 'v')});
  }
  state.counters["memory"] = static_cast<double>(HeapBytes() - before);
  const gossip_digest digest = map.Digest();
  for (auto _ : state) {
    benchmark::DoNotOptimize(map.Digest());
    benchmark::DoNotOptimize(map.EntriesNewerThan(digest));
    benchmark::DoNotOptimize(map.KeysOlderThan(digest));
  }
  state.counters["items"] = static_cast<double>(state.range(0));
}
BENCHMARK(GossipCompare)->RangeMultiplier(10)->Range(10, 10'000);

}  // namespace

}  // namespace limpetlever
