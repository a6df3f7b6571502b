// A replica leaves without a report; a check-in of it that got no answer is carried out after that.
#include <string>

#include "review/standin-2/cases.h"
#include "review/standin-2/stage.h"

namespace review {

namespace {

constexpr duration kDrain = std::chrono::milliseconds(3000);  // drainMs

constexpr const char* kConfig = R"({"version":5,"routes":[
  {"name":"look","host":"h.example","prefix":"/look/","kind":"non_idempotent","timeoutMs":4000,
   "targetLatencyMs":250,"priority":1,"service":"portal","maxAttempts":2}],
  "services":[{"name":"portal","healthPath":"/health","maxConns":192,"warmupS":3.0,"warmupPerS":0.0}],
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

}  // namespace

int RunLateCheckIn(stage& on) {
  using std::chrono::milliseconds;
  on.store().Write("op/config", kConfig);
  std::vector<std::unique_ptr<replica_standin>> replicas;
  for (const char* id : {"i-p1", "i-p2", "i-p3"}) {
    replicas.push_back(std::make_unique<replica_standin>(
        on, replica_standin::options{.id = id, .service = "portal", .work = milliseconds(20)}));
    replicas.back()->Start();
  }
  replica_standin& leaving = *replicas.front();
  auto& host = on.StartHost("host-a", "zone-a");
  int number = 0;
  on.Every(milliseconds(4000), milliseconds(7), milliseconds(24'000), [&] {
    on.Call(host.caller_address, "POST", "/look/member", "record=" + std::to_string(++number),
            4000);
  });
  std::string late_entry;
  std::int64_t late_seq = 0;
  if (HasTrouble()) {
    on.At(milliseconds(9700), [&] {
      late_seq = leaving.seq();
      late_entry = leaving.Entry(late_seq);
      on.Note("disruption: the store's answer to the check-in " + std::to_string(late_seq) +
              " of " + leaving.id() + " is lost, and the call isn't carried out yet");
    });
  }
  instant confirmed;
  on.At(milliseconds(14'000), [&] {
    leaving.RemoveEntry();
    confirmed = on.loop().Now();
    on.Note(leaving.id() +
            " leaves: its entry is removed, confirmed by the store, check-ins so far " +
            std::to_string(leaving.seq()));
  });
  if (HasTrouble()) {
    on.At(milliseconds(15'500), [&] {
      on.Note("the store carries out the check-in " + std::to_string(late_seq) + ", 5.8 s late");
      on.WriteEntry(leaving.id(), late_entry);
    });
  }
  on.At(milliseconds(20'000), [&] {
    on.Note(leaving.id() + " exits, 6 s after its entry was removed");
    leaving.Crash();
  });
  on.At(milliseconds(29'000), [&] { on.loop().Stop(); });
  on.loop().Run();

  std::map<std::string, const call_record*> sent;
  int served = 0;
  int lost = 0;
  for (const auto& call : on.calls) {
    sent[call->attempt_id] = call.get();
    served += call->status == 200 ? 1 : 0;
    lost += call->status == 502 ? 1 : 0;
  }
  int late = 0;
  for (const auto& run : on.runs) {
    const auto found = sent.find(run.attempt_id);
    if (run.replica == leaving.id() && found != sent.end() && run.at > confirmed + kDrain &&
        found->second->sent > confirmed + kDrain) {
      ++late;
      on.Note("DRAIN: " + run.attempt_id + ", sent at " +
              std::to_string(on.Ms(found->second->sent)) + " ms, reached " + run.replica + " at " +
              std::to_string(on.Ms(run.at)) + " ms; the caller got " +
              std::to_string(found->second->status));
    }
  }
  on.Note("result: " + std::to_string(on.calls.size()) + " sent, " + std::to_string(served) +
          " answered 200, " + std::to_string(lost) + " answered 502; " + std::to_string(late) +
          " reached the replica later than drainMs after the store had confirmed that it is gone");
  if (on.HasHostEnded() || served < 400) {
    return kCouldNotRun;
  }
  return late > 0 ? kBroken : kHeld;
}

}  // namespace review
