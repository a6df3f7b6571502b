// The store is down for less than a second, silently, while replicas start; a config follows.
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "review/standin-2/cases.h"
#include "review/standin-2/stage.h"

namespace review {

namespace {

using std::chrono::milliseconds;

// All times count from the moment at which each host has renewed its lease in a round of renewals,
// which come every 2 s. The outage lies between two rounds.
constexpr duration kNewServiceStart = milliseconds(300);
constexpr duration kOutageStart = milliseconds(2300);
constexpr duration kOutageEnd = milliseconds(3100);
constexpr duration kConfigSent = milliseconds(3500);
constexpr duration kDrain = milliseconds(7000);
constexpr duration kExit = milliseconds(17'000);
constexpr duration kEnd = milliseconds(39'000);
constexpr duration kConfigApply = milliseconds(3000);  // configApplyMs
constexpr duration kStability = milliseconds(4000);    // stabilityMs

std::string Config(int version, const std::string& service) {
  return "{\"version\":" + std::to_string(version) +
         R"(,"routes":[{"name":"look","host":"h.example","prefix":"/look/","kind":"idempotent",)"
         R"("timeoutMs":4000,"targetLatencyMs":250,"priority":1,"service":")" +
         service +
         R"(","maxAttempts":2}],"services":[)"
         R"({"name":"old","healthPath":"/health","maxConns":192,"warmupS":3.0,"warmupPerS":0.0},)"
         R"({"name":"new","healthPath":"/health","maxConns":192,"warmupS":3.0,"warmupPerS":0.0}],)"
         R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)"
         R"("idleTimeoutMs":15000}})";
}

}  // namespace

int RunShortOutage(stage& on) {
  on.store().Write("op/config", Config(5, "old"));
  std::vector<std::unique_ptr<replica_standin>> replicas;
  for (const char* id : {"i-o1", "i-o2", "i-n1", "i-n2"}) {
    replicas.push_back(std::make_unique<replica_standin>(
        on, replica_standin::options{.id = id, .service = id[2] == 'o' ? "old" : "new"}));
  }
  replica_standin& old_a = *replicas[0];
  replica_standin& old_b = *replicas[1];
  old_a.Start();
  old_b.Start();
  std::vector<stage::host*> hosts;
  for (const char* name : {"host-a", "host-b", "host-c"}) {
    hosts.push_back(&on.StartHost(name, "zone-a"));
  }
  std::size_t turn = 0;
  on.Every(milliseconds(5000), milliseconds(50), milliseconds(45'000), [&] {
    on.Call(hosts[++turn % hosts.size()]->caller_address, "GET", "/look/member", "", 4000);
  });
  // When the round of renewals ends, as the store sees it.
  std::optional<instant> round;
  const auto at = [&](duration after_round, std::function<void()> call) {
    on.loop().timers().Subscribe(*round + after_round,
                                 [call = std::move(call)](instant) { call(); });
  };
  const auto play = [&] {
    at(kNewServiceStart, [&] {
      on.Note("replicas of the new service start, cold for 3 s");
      replicas[2]->Start(true, milliseconds(3000));
      replicas[3]->Start(true, milliseconds(3000));
    });
    if (HasTrouble()) {
      at(kOutageStart, [&] {
        on.Note("disruption: the store is down for 0.8 s, silently");
        on.SetStoreDown(true);
      });
      at(kOutageEnd, [&] {
        on.Note("the store is back");
        on.SetStoreDown(false);
      });
    }
    at(kConfigSent, [&] {
      on.store().Write("op/config", Config(6, "new"));
      on.Note("config 6 moves the route from old to new, confirmed by the store");
    });
    at(kDrain, [&] {
      on.Note("the old replicas drain");
      old_a.Drain();
      old_b.Drain();
    });
    at(kExit, [&] {
      on.Note("the old replicas exit, 10 s later");
      for (replica_standin* old : {&old_a, &old_b}) {
        old->RemoveEntry();
        old->Crash();
      }
    });
    at(kEnd, [&] { on.loop().Stop(); });
  };
  int renewals = 0;
  on.Every(milliseconds(7000), milliseconds(5), milliseconds(12'000), [&] {
    const int count = on.store().CallCount("/kv-keep");
    renewals = renewals == 0 ? count : renewals;
    if (!round && count >= renewals + static_cast<int>(hosts.size())) {
      round = on.loop().Now();
      on.Note("all hosts have renewed their leases");
      play();
    }
  });
  on.At(milliseconds(60'000), [&] { on.loop().Stop(); });
  on.loop().Run();
  if (!round) {
    return kCouldNotRun;
  }

  // Calm machines are in touch once the store has been stable for stabilityMs.
  const std::int64_t from = std::max(on.Ms(*round + kConfigSent + kConfigApply),
                                     HasTrouble() ? on.Ms(*round + kOutageEnd + kStability) : 0);
  std::map<std::string, const call_record*> sent;
  int served = 0;
  int unserved_late = 0;
  for (const auto& call : on.calls) {
    sent[call->attempt_id] = call.get();
    served += call->status == 200 ? 1 : 0;
    unserved_late += call->status != 200 && on.Ms(call->sent) > from ? 1 : 0;
  }
  int stale = 0;
  std::int64_t last = 0;
  for (const auto& run : on.runs) {
    const auto found = sent.find(run.attempt_id);
    const bool is_old = run.replica == old_a.id() || run.replica == old_b.id();
    if (is_old && found != sent.end() && on.Ms(found->second->sent) > from) {
      ++stale;
      last = on.Ms(found->second->sent);
    }
  }
  on.Note("result: " + std::to_string(on.calls.size()) + " sent, " + std::to_string(served) +
          " answered 200; of those sent after " + std::to_string(from) + " ms, " +
          std::to_string(stale) + " were run by the old service, the last one sent at " +
          std::to_string(last) + " ms, and " + std::to_string(unserved_late) + " were not served");
  if (on.HasHostEnded() || served < 200) {
    return kCouldNotRun;
  }
  return stale > 0 ? kBroken : kHeld;
}

}  // namespace review
