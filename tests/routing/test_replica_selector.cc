#include <criterion/criterion.h>

#include "routing_fixture.h"

using namespace limpetlever;

namespace {

constexpr auto kFirst = attempt_purpose::first;
constexpr auto kHedge = attempt_purpose::hedge;

operator_table Table(bool a_out, const std::vector<std::string>& servers) {
  operator_table table;
  table.data_centres = {{.name = "dc-a", .region = "r", .weight = 1.0, .taken_out = a_out},
                        {.name = "dc-b", .region = "r", .weight = 1.0, .taken_out = false}};
  for (const std::string& server : servers) {
    table.backend_servers.push_back({.address = server});
  }
  return table;
}

/** Share of choices that select `replica` when no request is in flight. */
double MeasureShare(replica_selector& selector,
                    const std::vector<candidate>& candidates,
                    const std::string& replica,
                    instant now) {
  int chosen = 0;
  for (int i = 0; i < 4000; ++i) {
    const candidate* found = selector.Choose(candidates, {}, kFirst, now);
    chosen += found != nullptr && found->replica == replica ? 1 : 0;
  }
  return chosen / 4000.0;
}

}  // namespace

// Guards against a returning data centre getting its full share at once, or any work while it is
// out.
Test(replica_selector, data_centre_returns_from_5_percent_over_30_s) {
  replica_selector selector("dc-a", 1);
  const std::vector<candidate> candidates = {Replica("a"), Replica("b", "dc-b")};
  selector.SetTable(Table(false, {"a", "b"}), At(0));
  cr_assert(MeasureShare(selector, candidates, "a", At(0)) == 1.0);
  selector.SetTable(Table(true, {"a", "b"}), At(1000));
  cr_assert(MeasureShare(selector, candidates, "a", At(1000)) == 0.0);
  selector.SetTable(Table(false, {"a", "b"}), At(2000));
  const double times[] = {0, 10'000, 20'000, 29'000};
  for (const double elapsed_ms : times) {
    const double expected_share = 0.05 + 0.95 * elapsed_ms / 30'000;
    const double share = MeasureShare(selector, candidates, "a", At(2000 + elapsed_ms));
    cr_assert(share > expected_share - 0.03 && share < expected_share + 0.03, "%f at %f", share,
              elapsed_ms);
  }
  cr_assert(MeasureShare(selector, candidates, "a", At(32'000)) == 1.0);
  // The ramp restarts when the data centre is taken out and in again.
  selector.SetTable(Table(true, {"a", "b"}), At(33'000));
  cr_assert(selector.Choose({Replica("a")}, {}, kFirst, At(33'000)) == nullptr);
  selector.SetTable(Table(false, {"a", "b"}), At(34'000));
  cr_assert(MeasureShare(selector, candidates, "a", At(34'000)) < 0.1);
  // A shard that is held only by the returning data centre still gets a replica.
  cr_assert(selector.Choose({Replica("a")}, {}, kFirst, At(34'000)) != nullptr);
}

// Guards against overloading the local data centre while another one has capacity.
Test(replica_selector, uses_remote_replicas_when_local_ones_are_full) {
  replica_selector selector("dc-a", 1);
  std::vector<candidate> candidates = {Replica("a"), Replica("b", "dc-b")};
  candidates[0].limit = candidates[1].limit = 2;
  for (int i = 0; i < 2; ++i) {
    cr_assert(selector.Choose(candidates, {}, kFirst, At(0))->replica == "a");
    selector.OnSent("a");
  }
  cr_assert(selector.Choose(candidates, {}, kFirst, At(0))->replica == "b");
  selector.OnFinished("a", Ms(1));
  cr_assert(selector.Choose(candidates, {}, kFirst, At(0))->replica == "a");
}

// Guards against hedges that add load to a cold or full replica.
Test(replica_selector, hedges_avoid_cold_and_full_replicas) {
  replica_selector selector("dc-a", 1);
  std::vector<candidate> candidates = {Replica("a"), Replica("b")};
  candidates[0].cold = true;
  candidates[1].limit = 1;
  cr_assert(selector.Choose(candidates, {}, kHedge, At(0))->replica == "b");
  selector.OnSent("b");
  cr_assert(selector.Choose(candidates, {}, kHedge, At(0)) == nullptr);
  attempt_result refusal{.replica = "b", .outcome = NotRun(errc::replica_full)};
  selector.OnResult(refusal, {}, At(0));
  cr_assert(selector.Choose(candidates, {}, kHedge, At(50)) == nullptr);
  cr_assert(selector.Choose(candidates, {}, kHedge, At(101)) != nullptr);
}

// Guards against weights without effect, and against a limit reported by the owner outweighing the
// host's own counts of requests in flight.
Test(replica_selector, honours_weights_and_bounds_reported_limits) {
  replica_selector selector("dc-a", 1);
  std::vector<candidate> candidates = {Replica("a"), Replica("b")};
  candidates[1].weight = 0.25;
  int sent[2] = {0, 0};
  for (int i = 0; i < 500; ++i) {
    const candidate* chosen = selector.Choose(candidates, {}, kFirst, At(0));
    selector.OnSent(chosen->replica);
    ++sent[chosen->replica == "b"];
  }
  cr_assert(sent[1] > 20 && sent[1] < 125, "%d of 500", sent[1]);
  candidates[1].weight = 0.0;
  cr_assert(MeasureShare(selector, candidates, "a", At(0)) == 1.0);

  replica_selector with_reported_limit("dc-a", 2);
  candidates[1].weight = 1.0;
  candidates[0].limit = 100'000;
  sent[0] = sent[1] = 0;
  for (int i = 0; i < 900; ++i) {
    const candidate* chosen = with_reported_limit.Choose(candidates, {}, kFirst, At(0));
    with_reported_limit.OnSent(chosen->replica);
    ++sent[chosen->replica == "b"];
  }
  cr_assert(sent[1] >= 290 && sent[1] < 400, "%d of 900", sent[1]);
}

// Guards against a server that fails immediately attracting the work of those that answer.
Test(replica_selector, failing_replica_gets_less_work) {
  replica_selector selector("dc-a", 1);
  const std::vector<candidate> candidates = {Replica("a"), Replica("b"), Replica("c")};
  int to_a = 0;
  for (int i = 0; i < 3000; ++i) {
    const std::string chosen = selector.Choose(candidates, {}, kFirst, At(i))->replica;
    to_a += chosen == "a" ? 1 : 0;
    selector.OnSent(chosen);
    const attempt_result result{
        .replica = chosen, .outcome = chosen == "a" ? MayHaveRun(errc::connection_lost) : Ran()};
    selector.OnResult(result, Ms(5), At(i));
  }
  cr_assert(to_a < 450, "%d of 3000", to_a);
}

// Guards against memory use that grows with every replica ever seen.
Test(replica_selector, drops_replicas_that_left_the_table) {
  replica_selector selector("dc-a", 1);
  service_records services;
  for (int round = 0; round < 100; ++round) {
    const std::string name = "replica-" + std::to_string(round);
    selector.SetTable(Table(false, {name}), At(round));
    selector.OnSent(name);
    selector.OnSent("gone");
    selector.OnFinished("replica-" + std::to_string(round - 1), Ms(1));
    cr_assert(selector.tracked_replicas() == 1, "%zu", selector.tracked_replicas());
    services.FindOrCreate(name);
    services.SetTable(Table(false, {name}));
    cr_assert(services.size() == 0);
  }
}
