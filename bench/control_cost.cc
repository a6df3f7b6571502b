// Bytes per second, memory and CPU of one host's control decisions at the design target's size.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <memory>
#include <string>
#include <vector>

#include "control/watcher_choice.h"
#include "membership/member_entry.h"
#include "membership/member_tracker.h"
#include "ownership/handover.h"
#include "ownership/owner_index.h"
#include "registry.h"

namespace limpetlever {

namespace {

constexpr int kHosts = 2500;
constexpr int kRegions = 7;
constexpr int kReplicas = 100000;
// Frame, message name, sender and incarnation of a Thrift message, and TCP and IP headers.
constexpr double kMessageOverhead = 120;
constexpr double kEntryOverhead = 12;
// An edit of one row as text.
constexpr double kEditBytes = 250;

member Host(int i) {
  return {
      .name = "host-" + std::to_string(i),
      .region = "region-" + std::to_string(i % kRegions),
      .data_centre = "dc-" + std::to_string(i % 17),
      .http_address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":8080",
      .peer_address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":9090",
      .incarnation = 1700000000000000 + i};
}

std::unique_ptr<member_tracker> FullTracker(unsigned seed) {
  auto tracker = std::make_unique<member_tracker>(Host(0), seed, instant());
  for (int i = 1; i < kHosts; ++i) {
    tracker->MergeEntry(ToGossipEntry(Host(i), 0), instant());
  }
  return tracker;
}

double SizeOf(const std::vector<gossip_entry>& entries) {
  double bytes = 0;
  for (const gossip_entry& entry : entries) {
    bytes += static_cast<double>(entry.key.size() + entry.value.size()) + kEntryOverhead;
  }
  return bytes;
}

/**
 * Sent and received in the ten minutes after a start, with the changes of an ordinary day; every
 * send has a receive on average. The news of 2,500 members lasts longer than that, so each message
 * carries as many updates as it may: the figure is an upper bound.
 */
double BytesPerSecond(unsigned seed) {
  const auto tracker = FullTracker(seed);
  random_source random(seed);
  constexpr int kSeconds = 600;
  double sent = 0;
  // A restart is seen as leaving, dead or replaced, and alive: three changes of state.
  const double changes_per_step = 3 * (8700.0 + 170.0) / 86400 / 100;
  std::int64_t change = 0;
  for (std::int64_t step = 0; step < kSeconds * 100; ++step) {
    const instant now(std::chrono::milliseconds(10 * step));
    if (random.Unit() < changes_per_step) {
      member host = Host(1 + static_cast<int>(random.Below(kHosts - 1)));
      host.incarnation += ++change;
      tracker->MergeEntry(ToGossipEntry(host, 0), now);
    }
    for (const probe_action& action : tracker->Advance(now)) {
      const double bytes = kMessageOverhead + SizeOf(action.updates);
      // The answer carries news of the same kind, and so does this host's answer to its prober.
      sent += 2 * bytes;
      tracker->OnProbeResult(action.id, true, now);
    }
  }
  const double edits = 59000.0 / 86400 * 8 * (kEditBytes + kMessageOverhead);
  // Freshness is asked twice a second, and a watcher answers those of its data centre: 147 hosts.
  const double freshness = 2.0 * 2 * kMessageOverhead;
  return 2 * (sent / kSeconds + edits) + 2 * freshness;
}

double BaselineBytesPerSecond() {
  // Without bounded news, each exchange carries the digest of all members; five times a second.
  double digest = 0;
  for (int i = 0; i < kHosts; ++i) {
    digest += static_cast<double>(ToGossipEntry(Host(i), 0).key.size()) + kEntryOverhead;
  }
  return 2 * 5 * (digest + kMessageOverhead);
}

ownership_view RegionView() {
  ownership_view view{.epoch = 1, .members = {}};
  for (int i = 0; i < kHosts; i += kRegions) {
    view.members.push_back(
        {.name = Host(i).name, .data_centre = Host(i).data_centre, .incarnation = 1});
  }
  return view;
}

std::vector<replica_location> Replicas(int count) {
  std::vector<replica_location> replicas;
  for (int i = 0; i < count; ++i) {
    replicas.push_back(
        {.address = "10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250),
         .data_centre = "dc-" + std::to_string(i % 17)});
  }
  return replicas;
}

double HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

std::vector<measure> RunControlCost(unsigned seed) {
  const double before = HeapBytes();
  double result = 0;
  {
    const auto tracker = FullTracker(seed);
    const auto replicas = Replicas(kReplicas / kRegions);
    handover hand("host-0", 1);
    hand.Adopt(owner_index(RegionView(), replicas), replicas, instant());
    result = HeapBytes() - before;
  }
  double baseline = 0;
  {
    // Without an index per region: the ranks of all members of a region for each replica.
    const double empty = HeapBytes();
    const std::vector<std::vector<std::uint64_t>> ranks(
        kReplicas, std::vector<std::uint64_t>(RegionView().members.size()));
    baseline = HeapBytes() - empty;
  }
  return {
      {.name = "control_bytes_per_s_2500_hosts",
       .baseline = BaselineBytesPerSecond(),
       .result = BytesPerSecond(seed)},
      {.name = "control_memory_2500_hosts", .baseline = baseline / 1e6, .result = result / 1e6}};
}

const bench_registration kRegistration{{.name = "control_cost", .run = RunControlCost}};

void BM_TrackerAdvance(benchmark::State& state) {
  const auto tracker = FullTracker(1);
  instant now;
  for (auto _ : state) {
    now += std::chrono::milliseconds(500);
    for (const probe_action& action : tracker->Advance(now)) {
      tracker->OnProbeResult(action.id, true, now);
    }
  }
}
BENCHMARK(BM_TrackerAdvance);

void BM_OwnerIndex(benchmark::State& state) {
  const ownership_view view = RegionView();
  const auto replicas = Replicas(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(owner_index(view, replicas));
  }
}
BENCHMARK(BM_OwnerIndex)->Arg(100)->Arg(1000)->Arg(14286);

void BM_ChooseWatchers(benchmark::State& state) {
  const std::vector<member> members = FullTracker(1)->Members();
  for (auto _ : state) {
    benchmark::DoNotOptimize(ChooseWatchers(members, "dc-3"));
  }
}
BENCHMARK(BM_ChooseWatchers);

}  // namespace

}  // namespace limpetlever
