// Cost of each role of a host as a function of its size: coordinator, owner of replicas and of key
// partitions, watcher, and member. The tables in docs/CAPACITY.md are computed from the slopes.
#include <benchmark/benchmark.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <latch>
#include <memory>
#include <thread>

#include "backend_server.h"
#include "claims/claim_journal.h"
#include "events/event_log.h"
#include "heap_bytes.h"
#include "limits/owned_replica.h"
#include "membership/member_entry.h"
#include "membership/member_tracker.h"
#include "ownership/owner_index.h"
#include "routing/fan_out.h"
#include "routing/replica_selector.h"
#include "routing/service_records.h"
#include "server/cluster_state.h"
#include "server/gossip_codec.h"
#include "table/table_json.h"
#include "transport/backend_client.h"
#include "transport/peer_codec.h"

namespace limpetlever {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

// Number of members of one of 7 regions at 2,500 hosts.
constexpr int kRegionMembers = 357;
constexpr int kDataCentres = 3;

std::string MakeAddress(std::int64_t i) {
  return "10." + std::to_string(i / 62500) + "." + std::to_string(i / 250 % 250) + "." +
         std::to_string(i % 250) + ":9000";
}

std::string DataCentreName(std::int64_t i) {
  return "dc-" + std::to_string(i % kDataCentres);
}

member MakeMember(std::int64_t i) {
  return {.name = "host-" + std::to_string(i),
          .region = "region-1",
          .data_centre = DataCentreName(i),
          .http_address = MakeAddress(i),
          .peer_address = MakeAddress(i),
          .incarnation = 1700000000000000 + i};
}

ownership_view MakeView(std::int64_t members) {
  ownership_view view{.epoch = 1, .members = {}};
  for (std::int64_t i = 0; i < members; ++i) {
    view.members.push_back({.name = MakeMember(i).name,
                            .data_centre = MakeMember(i).data_centre,
                            .incarnation = MakeMember(i).incarnation});
  }
  return view;
}

replica_status MakeStatus(std::int64_t i) {
  return {
      .address = MakeAddress(i),
      .instance_id = "1234567890",
      .usable = true,
      .limit = 2,
      .cold = false,
      .versions = {{.version = 123456, .shard_count = 87, .shards = {static_cast<int>(i % 87)}}}};
}

operator_table MakeTable(std::int64_t replicas, std::int64_t version) {
  operator_table table;
  table.version = version;
  table.workloads.push_back({.name = "w"});
  for (int i = 0; i < kDataCentres; ++i) {
    table.data_centres.push_back({.name = DataCentreName(i), .region = "region-1"});
  }
  for (std::int64_t i = 0; i < replicas; ++i) {
    const std::string service = "s-" + std::to_string(i / 2);
    if (i % 2 == 0) {
      table.services.push_back({.name = service, .workload = "w", .slots = 2, .connections = 50});
    }
    table.backend_servers.push_back(
        {.address = MakeAddress(i), .service = service, .data_centre = DataCentreName(i)});
  }
  return *ValidateTable(std::move(table), "bench");
}

void SetCounters(benchmark::State& state, double memory = 0, double bytes = 0) {
  state.counters["items"] = static_cast<double>(state.range(0));
  state.counters["memory"] = memory;
  state.counters["bytes"] = bytes;
}

/**
 * All decisions of the coordinator for one query; the argument is its number of shards, each with
 * two replicas.
 */
void FanOutQuery(benchmark::State& state) {
  partition_map map{.version = 1, .shards = {}};
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    map.shards.push_back(
        {{.replica = MakeAddress(2 * i), .service = "s", .data_centre = "dc-0"},
         {.replica = MakeAddress(2 * i + 1), .service = "s", .data_centre = "dc-0"}});
  }
  const auto shared = std::make_shared<const partition_map>(std::move(map));
  replica_selector selector("dc-0", 1);
  service_records services;
  std::int64_t now_us = 0;
  for (auto _ : state) {
    fan_out plan({.id = 1, .workload = "w", .time_limit = std::chrono::seconds(1)}, shared,
                 selector, services);
    const auto actions = plan.Start(instant(duration(now_us)));
    now_us += 1000;
    for (const fan_out_action& action : actions) {
      benchmark::DoNotOptimize(plan.OnResult({.id = action.attempt.id,
                                              .replica = action.attempt.replica,
                                              .outcome = Ran(),
                                              .snapshot_version = 1},
                                             instant(duration(now_us))));
    }
    benchmark::DoNotOptimize(plan.Answer(instant(duration(now_us))));
  }
  SetCounters(state);
}
BENCHMARK(FanOutQuery)->Arg(10)->Arg(30)->Arg(87)->Arg(200)->Arg(400);

/** Admission and end of attempts at one replica; the argument is the number of attempts. */
void OwnedReplicaAttempts(benchmark::State& state) {
  const auto body = std::make_shared<const std::string>(200, 'q');
  owned_replica replica(MakeAddress(0), 2);
  std::uint64_t query = 0;
  std::int64_t now_us = 0;
  for (auto _ : state) {
    for (std::int64_t i = 0; i < state.range(0); ++i) {
      const attempt_id id{.query = ++query, .shard = 1, .ordinal = 0};
      now_us += 1000;
      benchmark::DoNotOptimize(replica.Offer({.id = id,
                                              .replica = MakeAddress(0),
                                              .workload = "w",
                                              .snapshot_version = 1,
                                              .body = body,
                                              .time_limit = std::chrono::milliseconds(170),
                                              .urgent = false,
                                              .fingerprint = query,
                                              .key = {}},
                                             instant(duration(now_us))));
      benchmark::DoNotOptimize(replica.OnFinished(id, Ran(), std::chrono::microseconds(900),
                                                  instant(duration(now_us + 900))));
    }
  }
  SetCounters(state);
}
BENCHMARK(OwnedReplicaAttempts)->RangeMultiplier(10)->Range(10, 10'000);

/**
 * Calls to a stand-in backend server over loopback on a kept-alive connection. Only the processor
 * time of the calling thread counts. The argument is the number of calls.
 */
void BackendCalls(benchmark::State& state) {
  backend_server server("127.0.0.1",
                        {.service = "s",
                         .data_centre = "dc-0",
                         .versions = {{.version = 1, .shard_count = 1, .shards = {0}}},
                         .service_time_us = 0,
                         .slots = 1000,
                         .connections = 1000},
                        1);
  const std::string address = "127.0.0.1:" + std::to_string(server.port());
  const auto body = std::make_shared<const std::string>(200, 'q');
  backend_client client;
  client.SetLimits(address, duration::zero(), 50);
  std::uint64_t query = 0;
  for (auto _ : state) {
    for (std::int64_t i = 0; i < state.range(0); ++i) {
      const auto reply = client.Call({.id = {.query = ++query, .shard = 0, .ordinal = 0},
                                      .replica = address,
                                      .workload = "w",
                                      .snapshot_version = 1,
                                      .body = body,
                                      .time_limit = std::chrono::seconds(2),
                                      .urgent = false,
                                      .fingerprint = query,
                                      .key = {}});
      if (reply.outcome.state != run_state::ran) {
        state.SkipWithError("a call to the stand-in backend server failed");
        return;
      }
    }
  }
  SetCounters(state);
}
BENCHMARK(BackendCalls)->Arg(10)->Arg(30)->Arg(100)->Arg(300);

std::size_t ResidentBytes() {
  std::ifstream in("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  in >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/**
 * Resident memory of waiting threads, each of which has formatted and parsed one status before; the
 * argument is their number.
 */
void WaitingThreads(benchmark::State& state) {
  std::size_t bytes = 0;
  for (auto _ : state) {
    const std::size_t before = ResidentBytes();
    std::latch started(state.range(0));
    std::latch done(1);
    std::vector<std::thread> threads;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
      threads.emplace_back([&] {
        const std::string text = FormatReplicaStatuses({MakeStatus(1)});
        benchmark::DoNotOptimize(ParseReplicaStatuses(text));
        started.count_down();
        done.wait();
      });
    }
    started.wait();
    bytes = ResidentBytes() - before;
    done.count_down();
    for (std::thread& thread : threads) {
      thread.join();
    }
  }
  SetCounters(state, static_cast<double>(bytes));
}
BENCHMARK(WaitingThreads)->Arg(32)->Arg(64)->Arg(128)->Arg(256)->Iterations(1);

/** One second of probes; the argument is the number of members. */
void MemberTrackerSecond(benchmark::State& state) {
  const std::size_t before = HeapBytes();
  member_tracker tracker(MakeMember(0), 1, instant());
  for (std::int64_t i = 1; i < state.range(0); ++i) {
    tracker.MergeEntry(ToGossipEntry(MakeMember(i), 0), instant());
  }
  const auto memory = static_cast<double>(HeapBytes() - before);
  instant now;
  for (auto _ : state) {
    for (int step = 0; step < 20; ++step) {
      now += std::chrono::milliseconds(50);
      for (const probe_action& action : tracker.Advance(now)) {
        tracker.OnProbeResult(action.id, true, now);
      }
    }
  }
  SetCounters(state, memory);
}
BENCHMARK(MemberTrackerSecond)->Arg(15)->Arg(100)->Arg(500)->Arg(2500);

/** The copy of all members that periodic work makes; the argument is the number of members. */
void MembersCopy(benchmark::State& state) {
  cluster_state cluster(MakeMember(0));
  for (std::int64_t i = 1; i < state.range(0); ++i) {
    cluster.SetMember(MakeMember(i));
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(cluster.members());
  }
  SetCounters(state);
}
BENCHMARK(MembersCopy)->Arg(15)->Arg(100)->Arg(500)->Arg(2500);

/** Computes the owners of all replicas of a region; the argument is the number of replicas. */
void OwnerIndexBuild(benchmark::State& state) {
  const ownership_view view = MakeView(kRegionMembers);
  std::vector<replica_location> replicas;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    replicas.push_back({.address = MakeAddress(i), .data_centre = DataCentreName(i)});
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(owner_index(view, replicas));
  }
  const std::size_t before = HeapBytes();
  const auto index = std::make_unique<owner_index>(view, replicas);
  SetCounters(state, static_cast<double>(HeapBytes() - before));
}
BENCHMARK(OwnerIndexBuild)->RangeMultiplier(10)->Range(100, 100'000);

/**
 * Puts a new table in force on a host, which rebuilds ownership and routing; the argument is the
 * number of rows.
 */
void TableInForce(benchmark::State& state) {
  cluster_state cluster(MakeMember(0));
  cluster.AdoptView(MakeView(kRegionMembers));
  std::int64_t version = 0;
  const operator_table table = MakeTable(state.range(0), 1);
  for (auto _ : state) {
    operator_table next = table;
    next.version = ++version;
    cluster.AdoptTable(std::move(next));
  }
  SetCounters(state);
}
BENCHMARK(TableInForce)->RangeMultiplier(10)->Range(100, 100'000);

/**
 * Puts a changed status of one owner in force on a host; the argument is the number of replicas of
 * all owners.
 */
void StatusInForce(benchmark::State& state) {
  cluster_state cluster(MakeMember(0));
  cluster.AdoptView(MakeView(kRegionMembers));
  cluster.AdoptTable(MakeTable(state.range(0), 1));
  constexpr std::int64_t kReplicasPerOwner = 40;
  std::vector<replica_status> statuses;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    statuses.push_back(MakeStatus(i));
    if (i % kReplicasPerOwner == kReplicasPerOwner - 1 || i + 1 == state.range(0)) {
      cluster.SetReplicaStatuses("host-" + std::to_string(i / kReplicasPerOwner), statuses);
      statuses.clear();
    }
  }
  std::vector<replica_status> own;
  for (std::int64_t i = 0; i < std::min(kReplicasPerOwner, state.range(0)); ++i) {
    own.push_back(MakeStatus(i));
  }
  for (auto _ : state) {
    own[0].limit = 3 - own[0].limit;
    cluster.SetReplicaStatuses("host-0", own);
  }
  SetCounters(state);
}
BENCHMARK(StatusInForce)->Arg(100)->Arg(1000)->Arg(3000)->Arg(10'000);

/** Formats and parses the status of an owner; the argument is its number of replicas. */
void StatusText(benchmark::State& state) {
  std::vector<replica_status> statuses;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    statuses.push_back(MakeStatus(i));
  }
  std::string text;
  for (auto _ : state) {
    text = FormatReplicaStatuses(statuses);
    benchmark::DoNotOptimize(ParseReplicaStatuses(text));
  }
  SetCounters(state, 0, static_cast<double>(text.size()));
}
BENCHMARK(StatusText)->Arg(5)->Arg(10)->Arg(40)->Arg(160);

/**
 * Formats and parses four views, as many as are sent together; the argument is the number of
 * members of each.
 */
void ViewText(benchmark::State& state) {
  const std::vector<ownership_view> views(4, MakeView(state.range(0)));
  std::string text;
  for (auto _ : state) {
    text = FormatOwnershipViews(views);
    benchmark::DoNotOptimize(ParseOwnershipViews(text));
  }
  SetCounters(state, 0, static_cast<double>(text.size()));
}
BENCHMARK(ViewText)->Arg(5)->Arg(15)->Arg(100)->Arg(357);

/** Encodes and decodes a gossip digest; the argument is its number of entries. */
void DigestMessage(benchmark::State& state) {
  peer::ExchangeRequest request;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    peer::GossipDigest item;
    item.key = "status/host-" + std::to_string(i);
    item.incarnation = 1700000000000000 + i;
    item.version = 1000;
    request.digest.push_back(item);
  }
  std::uint32_t bytes = 0;
  for (auto _ : state) {
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol(buffer);
    request.write(&protocol);
    bytes = buffer->available_read();
    peer::ExchangeRequest read;
    read.read(&protocol);
    benchmark::DoNotOptimize(read);
  }
  SetCounters(state, 0, bytes);
}
BENCHMARK(DigestMessage)->Arg(15)->Arg(100)->Arg(500)->Arg(2500);

/**
 * Formats and parses the journal of one claim partition; the argument is its number of records,
 * each with 200 bytes of result.
 */
void ClaimJournalText(benchmark::State& state) {
  claim_journal journal;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    const std::string key = JournalKey("pledges", "pledge-number-" + std::to_string(i));
    journal.records[key] = {.key = key,
                            .fingerprint = 0xfedcba9876543210ULL,
                            .claim_id = "host-1/1700000000000000/" + std::to_string(i),
                            .state = claim_state::ran,
                            .result = std::string(200, 'r'),
                            .is_result_dropped = false,
                            .expiry = wall_time(std::chrono::hours(24))};
  }
  std::string text;
  for (auto _ : state) {
    text = FormatClaimJournal(journal);
    benchmark::DoNotOptimize(ParseClaimJournal(text, "bench"));
  }
  const std::size_t before = HeapBytes();
  const auto copy = std::make_unique<claim_journal>(*ParseClaimJournal(text, "bench"));
  SetCounters(state, static_cast<double>(HeapBytes() - before), static_cast<double>(text.size()));
}
BENCHMARK(ClaimJournalText)->Arg(10)->Arg(100)->Arg(300)->Arg(1000);

/** Records events of attempts in the ring buffer of a host; the argument is their number. */
void EventRecords(benchmark::State& state) {
  const std::size_t before = HeapBytes();
  event_log log("host-1", static_cast<std::size_t>(state.range(0)),
                [] { return wall_time(std::chrono::hours(1)); });
  const auto record = [&] {
    for (std::int64_t i = 0; i < state.range(0); ++i) {
      log.Record(event_number::attempt_started,
                 {{"attempt", "1311768467463790320/17/0"}, {"replica", MakeAddress(i)}});
    }
  };
  record();
  const auto memory = static_cast<double>(HeapBytes() - before);
  for (auto _ : state) {
    record();
  }
  SetCounters(state, memory);
}
BENCHMARK(EventRecords)->Arg(128)->Arg(512)->Arg(2048)->Arg(8192);

}  // namespace

}  // namespace limpetlever
