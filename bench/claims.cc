#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/errc.h"
#include "base/random_source.h"
#include "claims/partition_journal.h"
#include "registry.h"

namespace limpetlever {

namespace {

/** Duration of a call to the key-value service: it answers in milliseconds (design section 3). */
constexpr duration kCallTime = std::chrono::milliseconds(3);
/** Write capacity of the key-value service for the whole fleet, several hundred a second. */
constexpr int kStoreWritesPerSecond = 300;
constexpr duration kTick = std::chrono::milliseconds(1);
constexpr int kPledgesPerSecond = 1000;
constexpr int kHosts = 15;
constexpr duration kRunTime = std::chrono::seconds(10);
const wall_time kWallTime{std::chrono::hours(1)};

/** A key-value store that counts its writes. AdvancePartition adds the duration of each call. */
class simulated_store {
 public:
  result<key_value_entry> Read(const std::string& key) {
    const auto found = values_.find(key);
    return found == values_.end() ? result<key_value_entry>(failure{errc::not_found, ""})
                                  : result<key_value_entry>(found->second);
  }
  result<std::int64_t> Write(const store_call& call) {
    ++writes_;
    key_value_entry& entry = values_[call.key];
    if (entry.revision != call.revision) {
      return failure{errc::store_conflict, ""};
    }
    entry = {.value = call.value, .revision = ++revision_};
    return revision_;
  }
  long writes() const { return writes_; }

 private:
  std::map<std::string, key_value_entry> values_;
  std::int64_t revision_ = 0;
  long writes_ = 0;
};

/** The journal of one partition on its owner, and the store call that it is waiting for, if any. */
struct partition_run {
  partition_journal journal;
  std::optional<store_call> call;
  instant call_done_at;
};

void AdvancePartition(partition_run& partition, simulated_store& store, instant now) {
  if (partition.call && now >= partition.call_done_at) {
    const store_call call = *partition.call;
    partition.call.reset();
    if (call.kind == store_call::call_kind::read) {
      partition.journal.OnRead(store.Read(call.key), now);
    } else {
      partition.journal.OnWrite(store.Write(call), now);
    }
  }
  if (!partition.call) {
    partition.call = partition.journal.NextCall(now, kWallTime);
    partition.call_done_at = now + kCallTime;
  }
}

std::vector<std::unique_ptr<partition_run>> MakePartitions(const std::string& process,
                                                           unsigned seed) {
  std::vector<std::unique_ptr<partition_run>> partitions;
  for (int i = 0; i < kClaimPartitionCount; ++i) {
    partitions.push_back(std::make_unique<partition_run>(
        partition_run{partition_journal(i, process, seed + i), {}, {}}));
  }
  return partitions;
}

/**
 * Claims `rate` new pledges a second, spread over all partitions by key, for kRunTime, and records
 * an outcome for each granted claim. Returns the number of granted claims.
 */
long RunPledges(int rate, unsigned seed, simulated_store& store) {
  random_source random(seed);
  auto partitions = MakePartitions("owner", seed);
  const instant start{std::chrono::seconds(1)};
  long granted = 0;
  double due = 0;
  for (instant now = start; now < start + kRunTime; now += kTick) {
    for (due += rate / 1000.0; due >= 1; --due) {
      const std::string key = JournalKey("pledges", std::to_string(random.Next()));
      partitions[ClaimPartitionIndex(key)]->journal.RequestClaim(key, 1, now, kWallTime);
    }
    for (const auto& partition : partitions) {
      AdvancePartition(*partition, store, now);
      for (const claim_decision& decision : partition->journal.TakeDecisions()) {
        if (decision.kind == claim_decision::decision_kind::granted) {
          ++granted;
          partition->journal.RecordOutcome(*decision.record, claim_state::ran, "ok");
        }
      }
    }
  }
  return granted;
}

std::vector<measure> Run(unsigned seed) {
  const double seconds = std::chrono::duration<double>(kRunTime).count();
  simulated_store store;
  const long granted = RunPledges(kPledgesPerSecond, seed, store);
  // The baseline stores each claim under its own key: one write for the claim, one for its outcome.
  const double writes_per_key = 2.0;
  const double baseline_pledges = kStoreWritesPerSecond / writes_per_key;

  // The owner crashes with open claims. After `delay` another host claims a new key in each
  // partition. Returns the seconds from the crash until all of these claims are granted.
  const auto seconds_to_take_up = [&](duration delay) {
    simulated_store shared;
    RunPledges(kPledgesPerSecond, seed, shared);
    auto partitions = MakePartitions("successor", seed);
    const instant crashed_at{std::chrono::seconds(100)};
    std::set<int> not_granted;
    for (int i = 0; i < kClaimPartitionCount; ++i) {
      not_granted.insert(i);
    }
    instant now = crashed_at + delay;
    for (int i = 0; i < kClaimPartitionCount; ++i) {
      partitions[i]->journal.RequestClaim("pledges/new-" + std::to_string(i), 1, now, kWallTime);
    }
    for (; !not_granted.empty() && now < crashed_at + std::chrono::seconds(60); now += kTick) {
      for (int i = 0; i < kClaimPartitionCount; ++i) {
        AdvancePartition(*partitions[i], shared, now);
        for (const claim_decision& decision : partitions[i]->journal.TakeDecisions()) {
          if (decision.kind == claim_decision::decision_kind::granted) {
            not_granted.erase(i);
          }
        }
      }
    }
    return std::chrono::duration<double>(now - crashed_at).count();
  };
  // In the baseline the owner holds keys by lease. Its successor waits for the lease of 2.5 s with
  // a margin of 10%, and then for the longest attempt of 2 s.
  constexpr duration kLeaseDelay = std::chrono::milliseconds(2750 + 2000);
  return {{.name = "claims_store_writes_per_second",
           .baseline = kPledgesPerSecond * writes_per_key,
           .result = static_cast<double>(store.writes()) / seconds},
          {.name = "claims_pledges_per_second_per_host",
           .baseline = baseline_pledges / kHosts,
           .result = static_cast<double>(granted) / seconds / kHosts},
          {.name = "claims_dead_owner_take_up_s",
           .baseline = seconds_to_take_up(kLeaseDelay),
           .result = seconds_to_take_up(duration{})}};
}

const bench_registration kRegistration{{.name = "claims", .run = Run}};

}  // namespace

}  // namespace limpetlever
