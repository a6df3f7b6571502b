// All replicas of a service crash and come back cold.
#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/server_connection.h"
#include "review/standin-2/cases.h"
#include "review/standin-2/stage.h"

namespace review {

namespace {

constexpr int kWarmUpPerSecond = 4;
constexpr double kOverage = 1.5;  // warmupOverage
constexpr int kSlack = 5;         // warmupSlack
constexpr double kBound = kWarmUpPerSecond * kOverage + kSlack;
constexpr duration kWarmUp = std::chrono::seconds(10);  // warmupS
// "Crashes at a rate well above" warmupPerS.
constexpr int kCrashRate = 2 * static_cast<int>(kBound);

constexpr const char* kConfig = R"({"version":5,"routes":[
  {"name":"look","host":"h.example","prefix":"/look/","kind":"non_idempotent","timeoutMs":4000,
   "targetLatencyMs":250,"priority":1,"service":"portal","maxAttempts":2}],
  "services":[{"name":"portal","healthPath":"/health","maxConns":192,"warmupS":10.0,"warmupPerS":4.0}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

/** The most arrivals within a second. */
int MostInOneSecond(const std::vector<instant>& arrivals) {
  int most = 0;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    std::size_t end = i;
    while (end < arrivals.size() && arrivals[end] - arrivals[i] < std::chrono::seconds(1)) {
      ++end;
    }
    most = std::max(most, static_cast<int>(end - i));
  }
  return most;
}

}  // namespace

int RunColdReplica(stage& on) {
  using std::chrono::milliseconds;
  on.store().Write("op/config", kConfig);
  std::vector<std::unique_ptr<replica_standin>> replicas;
  std::map<std::string, std::vector<instant>> cold_arrivals;
  int crashes = 0;
  for (const char* id : {"i-p1", "i-p2"}) {
    replicas.push_back(std::make_unique<replica_standin>(
        on, replica_standin::options{.id = id, .service = "portal", .work = milliseconds(10)}));
    replica_standin& replica = *replicas.back();
    replica.on_request = [&](const std::shared_ptr<server_connection>&) {
      if (!replica.is_cold()) {
        return false;
      }
      const instant now = on.loop().Now();
      auto& arrivals = cold_arrivals[replica.id()];
      arrivals.push_back(now);
      const auto recent = std::count_if(arrivals.begin(), arrivals.end(), [now](instant at) {
        return now - at < std::chrono::seconds(1);
      });
      if (recent <= kCrashRate) {
        return false;
      }
      ++crashes;
      on.Note("the cold replica " + replica.id() + " has got " + std::to_string(recent) +
              " requests within a second");
      replica.CrashAndRestart(milliseconds(3000), true, kWarmUp);
      return true;
    };
    replica.Start();
  }
  auto& host = on.StartHost("host-a", "zone-a");
  int number = 0;
  on.Every(milliseconds(4000), milliseconds(15), milliseconds(44'000), [&] {
    on.Call(host.caller_address, "POST", "/look/member", "record=" + std::to_string(++number),
            4000);
  });
  if (HasTrouble()) {
    on.At(milliseconds(8000), [&] {
      on.Note("disruption: both replicas of the service crash; they are back after 3 s, cold");
      for (const auto& replica : replicas) {
        replica->CrashAndRestart(milliseconds(3000), true, kWarmUp);
      }
    });
  }
  on.At(milliseconds(49'000), [&] { on.loop().Stop(); });
  on.loop().Run();

  int served = 0;
  int lost = 0;
  int refused = 0;
  for (const auto& call : on.calls) {
    served += call->status == 200 ? 1 : 0;
    lost += call->status == 502 ? 1 : 0;
    refused += call->status == 503 ? 1 : 0;
  }
  int most = 0;
  for (const auto& [id, arrivals] : cold_arrivals) {
    most = std::max(most, MostInOneSecond(arrivals));
  }
  on.Note("result: " + std::to_string(on.calls.size()) + " sent, " + std::to_string(served) +
          " answered 200, " + std::to_string(refused) + " answered 503, " + std::to_string(lost) +
          " answered 502; a cold replica got at most " + std::to_string(most) +
          " requests within a second (bound " + std::to_string(static_cast<int>(kBound)) +
          "), and cold replicas crashed " + std::to_string(crashes) + " times of it");
  if (on.HasHostEnded() || served < 200) {
    return kCouldNotRun;
  }
  return most > kBound ? kBroken : kHeld;
}

}  // namespace review
