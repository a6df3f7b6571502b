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

/** Time of one call to the key-value service, "answers in milliseconds" (design section 3). */
constexpr duration kCallTime = std::chrono::milliseconds(3);
/** Writes that the key-value service carries in total: "several hundred a second". */
constexpr int kStoreWritesPerSecond = 300;
constexpr duration kTick = std::chrono::milliseconds(1);
constexpr int kPledgesPerSecond = 1000;
constexpr int kHosts = 15;
constexpr duration kRunTime = std::chrono::seconds(10);
const wall_time kWall{std::chrono::hours(1)};

/** A store in simulated time; counts writes and completes calls after kCallTime. */
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

/** The journal of one partition on its owner, with the call it waits for. */
struct driven_journal {
  partition_journal journal;
  std::optional<store_call> call;
  instant done_at;
};

void Drive(driven_journal& item, simulated_store& store, instant now) {
  if (item.call && now >= item.done_at) {
    const store_call call = *item.call;
    item.call.reset();
    if (call.kind == store_call::call_kind::read) {
      item.journal.OnRead(store.Read(call.key), now);
    } else {
      item.journal.OnWrite(store.Write(call), now);
    }
  }
  if (!item.call) {
    item.call = item.journal.NextCall(now, kWall);
    item.done_at = now + kCallTime;
  }
}

std::vector<std::unique_ptr<driven_journal>> MakeJournals(const std::string& process,
                                                          unsigned seed) {
  std::vector<std::unique_ptr<driven_journal>> journals;
  for (int i = 0; i < kClaimPartitionCount; ++i) {
    journals.push_back(std::make_unique<driven_journal>(
        driven_journal{partition_journal(i, process, seed + i), {}, {}}));
  }
  return journals;
}

/** Runs `rate` pledges a second through all partitions; records an outcome for each claim. */
long RunPledges(int rate, unsigned seed, simulated_store& store) {
  random_source random(seed);
  auto journals = MakeJournals("owner", seed);
  const instant start{std::chrono::seconds(1)};
  long granted = 0;
  double due = 0;
  for (instant now = start; now < start + kRunTime; now += kTick) {
    for (due += rate / 1000.0; due >= 1; --due) {
      const std::string key = JournalKey("pledges", std::to_string(random.Next()));
      journals[ClaimPartitionIndex(key)]->journal.RequestClaim(key, 1, now, kWall);
    }
    for (const auto& item : journals) {
      Drive(*item, store, now);
      for (const claim_decision& decision : item->journal.TakeDecisions()) {
        if (decision.kind == claim_decision::decision_kind::granted) {
          ++granted;
          item->journal.RecordOutcome(*decision.record, claim_state::ran, "ok");
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
  // A claim per key writes the claim and its outcome, each by itself.
  const double writes_per_key = 2.0;
  const double baseline_pledges = kStoreWritesPerSecond / writes_per_key;

  // The owner dies with claims open; another host claims a new key in each partition.
  const auto take_up_time = [&](duration detour) {
    simulated_store shared;
    RunPledges(kPledgesPerSecond, seed, shared);
    auto journals = MakeJournals("successor", seed);
    const instant died{std::chrono::seconds(100)};
    std::set<int> waiting;
    for (int i = 0; i < kClaimPartitionCount; ++i) {
      waiting.insert(i);
    }
    instant now = died + detour;
    for (int i = 0; i < kClaimPartitionCount; ++i) {
      journals[i]->journal.RequestClaim("pledges/new-" + std::to_string(i), 1, now, kWall);
    }
    for (; !waiting.empty() && now < died + std::chrono::seconds(60); now += kTick) {
      for (int i = 0; i < kClaimPartitionCount; ++i) {
        Drive(*journals[i], shared, now);
        for (const claim_decision& decision : journals[i]->journal.TakeDecisions()) {
          if (decision.kind == claim_decision::decision_kind::granted) {
            waiting.erase(i);
          }
        }
      }
    }
    return std::chrono::duration<double>(now - died).count();
  };
  // The baseline holds keys by lease: 2.5 s with a margin of 10%, and the longest attempt of 2 s.
  constexpr duration kLeaseDetour = std::chrono::milliseconds(2750 + 2000);
  return {{.name = "claims_store_writes_per_second",
           .baseline = kPledgesPerSecond * writes_per_key,
           .result = static_cast<double>(store.writes()) / seconds},
          {.name = "claims_pledges_per_second_per_host",
           .baseline = baseline_pledges / kHosts,
           .result = static_cast<double>(granted) / seconds / kHosts},
          {.name = "claims_dead_owner_take_up_s",
           .baseline = take_up_time(kLeaseDetour),
           .result = take_up_time(duration{})}};
}

const bench_registration kRegistration{{.name = "claims", .run = Run}};

}  // namespace

}  // namespace limpetlever
