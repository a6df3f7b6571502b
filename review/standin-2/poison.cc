// A request that crashes the replica that runs it comes again and again; the replica starts again
// under the id that it had.
#include <string>

#include "net/server_connection.h"
#include "review/standin-2/cases.h"
#include "review/standin-2/stage.h"

namespace review {

namespace {

constexpr duration kStability = std::chrono::milliseconds(4000);  // stabilityMs
constexpr int kAllowedRetries = 3;

constexpr const char* kConfig = R"({"version":5,"routes":[
  {"name":"look","host":"h.example","prefix":"/look/","kind":"non_idempotent","timeoutMs":4000,
   "targetLatencyMs":250,"priority":1,"service":"portal","maxAttempts":2}],
  "services":[{"name":"portal","healthPath":"/health","maxConns":192,"warmupS":3.0,"warmupPerS":0.0}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

}  // namespace

int RunPoison(stage& on) {
  using std::chrono::milliseconds;
  on.store().Write("op/config", kConfig);
  // As in the site: one replica in each of two zones.
  replica_standin near(
      on,
      {.id = "i-p1", .service = "portal", .zone = "zone-a", .work = milliseconds(60), .slots = 8});
  replica_standin far(
      on,
      {.id = "i-p2", .service = "portal", .zone = "zone-b", .work = milliseconds(60), .slots = 8});
  near.Start();
  far.Start();
  std::vector<instant> crashes;
  std::vector<instant> reached;
  const auto crash = [&](replica_standin& replica) {
    replica.on_request = [&](const std::shared_ptr<server_connection>& caller) {
      if (caller->request().target != "/look/crash") {
        return false;
      }
      const instant now = on.loop().Now();
      reached.push_back(now);
      on.Note("replica " + replica.id() + " begins to run " +
              std::string(caller->request().Find("Attempt-Id")) + ", which crashes it");
      on.loop().timers().Subscribe(now + milliseconds(10),
                                   [&, lifetime = replica.crashes](instant at) {
                                     if (replica.crashes == lifetime) {
                                       crashes.push_back(at);
                                       replica.CrashAndRestart(milliseconds(1500));
                                     }
                                   });
      return true;
    };
  };
  crash(near);
  crash(far);
  auto& host = on.StartHost("host-a", "zone-a");
  int number = 0;
  on.Every(milliseconds(4000), milliseconds(50), milliseconds(50'000), [&] {
    on.Call(host.caller_address, "POST", "/look/member", "record=" + std::to_string(++number),
            4000);
  });
  if (HasTrouble()) {
    on.Every(milliseconds(8000), milliseconds(3000), milliseconds(48'000),
             [&] { on.Call(host.caller_address, "POST", "/look/crash", "record=2", 4000); });
  }
  on.At(milliseconds(55'000), [&] { on.loop().Stop(); });
  on.loop().Run();

  int served = 0;
  int lost = 0;
  for (const auto& call : on.calls) {
    served += call->status == 200 ? 1 : 0;
    lost += call->status == 502 && call->target == "/look/member" ? 1 : 0;
  }
  int retries = 0;
  for (const instant at : reached) {
    retries += crashes.size() >= 3 && at > crashes[2] + kStability ? 1 : 0;
  }
  on.Note("result: " + std::to_string(on.calls.size()) + " sent, " + std::to_string(served) +
          " answered 200, " + std::to_string(lost) + " other requests answered 502; the request " +
          "reached replicas " + std::to_string(reached.size()) + " times and crashed them " +
          std::to_string(crashes.size()) + " times, " + std::to_string(retries) +
          " of these later than stabilityMs after the third crash");
  if (on.HasHostEnded() || served < 400) {
    return kCouldNotRun;
  }
  return retries > kAllowedRetries ? kBroken : kHeld;
}

}  // namespace review
