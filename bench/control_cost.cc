// Bytes per second, memory and processor time that control traffic and state cost one host, at the
// fleet size of the design target.
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
// Bytes of a message without its entries: frame, message name, sender and incarnation of the Thrift
// message, and TCP and IP headers.
constexpr double kMessageOverhead = 120;
// Bytes of a gossip entry beside its key and value.
constexpr double kEntryOverhead = 12;
// Size of an edit of one row as text.
constexpr double kEditBytes = 250;

member MakeMember(int i) {
  return {
      .name = "host-" + std::to_string(i),
      .region = "region-" + std::to_string(i % kRegions),
      .data_centre = "dc-" + std::to_string(i % 17),
      .http_address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":8080",
      .peer_address = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":9090",
      .incarnation = 1700000000000000 + i};
}

std::unique_ptr<member_tracker> MakeTracker(unsigned seed) {
  auto tracker = std::make_unique<member_tracker>(MakeMember(0), seed, instant());
  for (int i = 1; i < kHosts; ++i) {
    tracker->MergeEntry(ToGossipEntry(MakeMember(i), 0), instant());
  }
  return tracker;
}

double EncodedBytes(const std::vector<gossip_entry>& entries) {
  double bytes = 0;
  for (const gossip_entry& entry : entries) {
    bytes += static_cast<double>(entry.key.size() + entry.value.size()) + kEntryOverhead;
  }
  return bytes;
}

/**
 * Bytes sent and received per second in the ten minutes after a start, at the change rates of an
 * ordinary day. On average a host receives as much as it sends. The updates about 2,500 members are
 * not all sent within that time, so each message carries as many as it may: the result is an upper
 * bound.
 */
double BytesPerSecond(unsigned seed) {
  const auto tracker = MakeTracker(seed);
  random_source random(seed);
  constexpr int kSeconds = 600;
  double sent = 0;
  // A restart makes three changes of state: leaving, then dead or replaced, then alive.
  const double changes_per_step = 3 * (8700.0 + 170.0) / 86400 / 100;
  std::int64_t change_count = 0;
  for (std::int64_t step = 0; step < kSeconds * 100; ++step) {
    const instant now(std::chrono::milliseconds(10 * step));
    if (random.Unit() < changes_per_step) {
      member host = MakeMember(1 + static_cast<int>(random.Below(kHosts - 1)));
      host.incarnation += ++change_count;
      tracker->MergeEntry(ToGossipEntry(host, 0), now);
    }
    for (const probe_action& action : tracker->Advance(now)) {
      const double bytes = kMessageOverhead + EncodedBytes(action.updates);
      // Two messages: the probe, and the answer with as many updates to the host that probes this
      // one.
      sent += 2 * bytes;
      tracker->OnProbeResult(action.id, true, now);
    }
  }
  const double edit_bytes = 59000.0 / 86400 * 8 * (kEditBytes + kMessageOverhead);
  // Each host asks for freshness twice a second; a watcher answers the 147 hosts of its data
  // centre.
  const double freshness_bytes = 2.0 * 2 * kMessageOverhead;
  return 2 * (sent / kSeconds + edit_bytes) + 2 * freshness_bytes;
}

double BaselineBytesPerSecond() {
  // Without a bound on the updates per message, each exchange carries the digest of all members,
  // and there are five exchanges a second.
  double digest_bytes = 0;
  for (int i = 0; i < kHosts; ++i) {
    digest_bytes +=
        static_cast<double>(ToGossipEntry(MakeMember(i), 0).key.size()) + kEntryOverhead;
  }
  return 2 * 5 * (digest_bytes + kMessageOverhead);
}

ownership_view MakeRegionView() {
  ownership_view view{.epoch = 1, .members = {}};
  for (int i = 0; i < kHosts; i += kRegions) {
    view.members.push_back(
        {.name = MakeMember(i).name, .data_centre = MakeMember(i).data_centre, .incarnation = 1});
  }
  return view;
}

std::vector<replica_location> MakeReplicas(int count) {
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
    const auto tracker = MakeTracker(seed);
    const auto replicas = MakeReplicas(kReplicas / kRegions);
    handover replica_handover("host-0", 1);
    replica_handover.Adopt(owner_index(MakeRegionView(), replicas), replicas, instant());
    result = HeapBytes() - before;
  }
  double baseline = 0;
  {
    // Without the owner index of a region, a host stores for each replica the rank of every member
    // of that region.
    const double empty = HeapBytes();
    const std::vector<std::vector<std::uint64_t>> ranks(
        kReplicas, std::vector<std::uint64_t>(MakeRegionView().members.size()));
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
  const auto tracker = MakeTracker(1);
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
  const ownership_view view = MakeRegionView();
  const auto replicas = MakeReplicas(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    benchmark::DoNotOptimize(owner_index(view, replicas));
  }
}
BENCHMARK(BM_OwnerIndex)->Arg(100)->Arg(1000)->Arg(14286);

void BM_ChooseWatchers(benchmark::State& state) {
  const std::vector<member> members = MakeTracker(1)->Members();
  for (auto _ : state) {
    benchmark::DoNotOptimize(ChooseWatchers(members, "dc-3"));
  }
}
BENCHMARK(BM_ChooseWatchers);

}  // namespace

}  // namespace limpetlever
