// One odd entry among those of the replicas: a copy of a good entry whose key ends with CR LF.
#include <map>
#include <string>

#include "review/standin-2/cases.h"
#include "review/standin-2/stage.h"

namespace review {

namespace {

constexpr const char* kConfig = R"({"version":5,"routes":[
  {"name":"pledge","host":"h.example","prefix":"/pledge/","kind":"non_idempotent","timeoutMs":4000,
   "targetLatencyMs":250,"priority":1,"service":"pledges","maxAttempts":2}],
  "services":[{"name":"pledges","healthPath":"/health","maxConns":50,"warmupS":3.0,"warmupPerS":0.0}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

}  // namespace

int RunOddKey(stage& on) {
  using std::chrono::milliseconds;
  on.store().Write("op/config", kConfig);
  replica_standin first(on, {.id = "i-7f3a91c2", .service = "pledges"});
  replica_standin second(on, {.id = "i-2b6e04d8", .service = "pledges"});
  first.Start();
  second.Start();
  auto& host = on.StartHost("host-a", "zone-a");
  int number = 0;
  on.Every(milliseconds(4000), milliseconds(50), milliseconds(16'000), [&] {
    on.Call(host.caller_address, "POST", "/pledge/new",
            "pledge=" + std::to_string(++number) + "&blankets=2", 4000);
  });
  if (HasTrouble()) {
    on.At(milliseconds(8000), [&] {
      on.Note("another writer writes a copy of the entry of " + first.id() +
              " under its key with CR LF at the end");
      on.store().Write("servers/" + first.id() + "\r\n", first.Entry(first.seq()));
    });
  }
  on.At(milliseconds(21'000), [&] { on.loop().Stop(); });
  on.loop().Run();

  std::map<std::string, const call_record*> sent;
  int served = 0;
  for (const auto& call : on.calls) {
    sent[call->attempt_id] = call.get();
    served += call->status == 200 ? 1 : 0;
  }
  int changed = 0;
  int confirmed = 0;
  for (const auto& run : on.runs) {
    const auto found = sent.find(run.attempt_id);
    if (found == sent.end()) {
      on.Note("UNASKED: " + run.replica + " ran " + run.attempt_id + ", which nobody sent");
      ++changed;
      continue;
    }
    const call_record& call = *found->second;
    if (run.method != call.method || run.target != call.target || run.body != call.body) {
      ++changed;
      confirmed += call.status == 200 && call.has_seal ? 1 : 0;
      on.Note("UNASKED: " + run.replica + " ran " + run.attempt_id + " with body \"" + run.body +
              "\", sent was \"" + call.body + "\"; the caller got " + std::to_string(call.status));
    }
  }
  on.Note("result: " + std::to_string(on.calls.size()) + " sent, " + std::to_string(served) +
          " answered 200, " + std::to_string(on.runs.size()) + " runs, " + std::to_string(changed) +
          " of them with a changed request, " + std::to_string(confirmed) +
          " of those confirmed with 200 and the seal");
  if (on.HasHostEnded() || served < 100) {
    return kCouldNotRun;
  }
  return changed > 0 ? kBroken : kHeld;
}

}  // namespace review
