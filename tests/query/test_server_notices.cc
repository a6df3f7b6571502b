#include <criterion/criterion.h>

#include <set>
#include <string>

#include "notice_model.h"
#include "query_fixture.h"
#include "replicas/admission.h"

using namespace limpetlever;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using actions_type = query_plan::action_list;

replica ReadyEntry(const replica_record& record) {
  replica entry = record.registered;
  entry.is_draining = false;
  return entry;
}

}  // namespace

// Guards against new requests to a server that has said that it leaves: first attempts, retries
// and hedges, although its entry still says that it is ready, or expires and comes back.
Test(server_notices, a_leaving_server_gets_nothing_new) {
  query_fixture fixture(1);
  const auto leaving = fixture.registry.Find("a0");
  const auto first = fixture.Plan(fixture.search);
  actions_type actions;
  first->Start(fixture.now, actions);
  while (query_fixture::Sends(actions)[0].target != leaving) {
    cr_assert_fail("the local server is not chosen first");
  }
  replica_reply reply = query_fixture::SuccessReply("s");
  reply.notice.is_leaving = true;
  first->OnReply(0, std::move(reply), fixture.now, actions);
  fixture.registry.Put(ReadyEntry(*leaving), fixture.now);
  fixture.registry.Remove("a0", fixture.now);
  fixture.registry.Put(ReadyEntry(*leaving), fixture.now);
  cr_assert(LastingExclusion(*fixture.registry.Find("a0")) == exclusion::leaving);
  for (int round = 0; round < 50; ++round) {
    const auto plan = fixture.Plan(fixture.search);
    actions.clear();
    plan->Start(fixture.now, actions);
    plan->OnFailure(0, attempt_failure::connection_lost, fixture.now, actions);
    fixture.Advance(90);
    plan->OnTimer(fixture.now, actions);
    for (const query_action& send : query_fixture::Sends(actions)) {
      cr_assert(send.target->registered.id == "b0");
    }
  }
}

// Guards against a server that gets no requests since an earlier process with its id or its
// address was leaving.
Test(server_notices, a_restarted_server_is_a_new_one) {
  query_fixture fixture(1);
  const auto leaving = fixture.registry.Find("a0");
  ApplyNotice(*leaving, {.is_leaving = true, .pause = seconds(100)}, fixture.now, 0.0);
  replica again = leaving->registered;
  again.started_ms = 7;
  fixture.registry.Put(again, fixture.now);
  cr_assert(CheckAdmission(*fixture.registry.Find("a0"), fixture.now).MaySend(fixture.now));
  fixture.registry.Remove("a0", fixture.now);
  again.started_ms = 8;
  fixture.registry.Put(again, fixture.now);
  cr_assert(IsUsable(*fixture.registry.Find("a0")));
}

// Guards against a notice that is lost because its answer came too late for the query, or after
// the caller had left.
Test(server_notices, hold_in_an_answer_that_is_no_longer_needed) {
  query_fixture fixture(1);
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  const auto target = query_fixture::Sends(actions)[0].target;
  plan->OnCancelled(0, fixture.now);
  plan->OnReply(0, {.status = 504, .notice = {.is_leaving = true}}, fixture.now, actions);
  cr_assert(LastingExclusion(*target) == exclusion::leaving);
}

// Guards against coverage that counts a shard whose last server has left, and against a query that
// waits for it.
Test(server_notices, a_shard_whose_last_server_leaves_is_missing) {
  query_fixture fixture(20);
  for (const char* id : {"a3", "b3"}) {
    ApplyNotice(*fixture.registry.Find(id), {.is_leaving = true}, fixture.now, 0.0);
  }
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  cr_assert(query_fixture::Sends(actions).size() == 19);
  for (std::uint32_t i = 0; i < 19; ++i) {
    plan->OnReply(i, query_fixture::SuccessReply("s" + std::to_string(i)), fixture.now, actions);
  }
  cr_assert(plan->IsDone() && plan->outcome().missing_shards == 1);
}

// Guards against a query that waits or is sent although all servers of too many shards want a
// pause: it is rejected at once, with the time after which it can be served and the reasons.
Test(server_notices, too_many_pauses_reject_a_query_at_once) {
  query_fixture fixture(10);
  for (const char* id : {"a0", "b0", "a1", "b1", "a2", "b2"}) {
    ApplyNotice(*fixture.registry.Find(id), {.pause = seconds(3)}, fixture.now, 0.0);
  }
  ApplyNotice(*fixture.registry.Find("b2"), {.is_leaving = true}, fixture.now, 0.0);
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  cr_assert(plan->IsDone() && query_fixture::Sends(actions).empty());
  cr_assert(plan->outcome().result.state == run_state::not_run);
  cr_assert(plan->outcome().retry_after == seconds(3));
  cr_assert(plan->outcome().result.detail.find("3 pause") != std::string::npos, "%s",
            plan->outcome().result.detail.c_str());
  fixture.now += plan->outcome().retry_after;
  const auto later = fixture.Plan(fixture.search);
  actions.clear();
  later->Start(fixture.now, actions);
  cr_assert(query_fixture::Sends(actions).size() == 10);
}

// Guards against attempts that wait for a connection to a server that is no longer in use, or that
// count as sent to it.
Test(server_notices, an_attempt_that_was_not_sent_moves_to_another_server) {
  query_fixture fixture(1);
  fixture.search.max_attempts = 1;
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  const auto sent = query_fixture::Sends(actions)[0];
  ApplyNotice(*sent.target, {.is_leaving = true}, fixture.now, 0.0);
  actions.clear();
  cr_assert(plan->Move(0, fixture.now, actions));
  const auto moved = query_fixture::Sends(actions);
  cr_assert(moved.size() == 1 && moved[0].reason == send_reason::moved);
  cr_assert(moved[0].target != sent.target && sent.target->load.in_flight() == 0);
  ApplyNotice(*moved[0].target, {.is_leaving = true}, fixture.now, 0.0);
  cr_assert(!plan->Move(1, fixture.now, actions), "there is no other server");
  plan->OnReply(1, query_fixture::SuccessReply("s"), fixture.now, actions);
  cr_assert(plan->IsDone() && plan->outcome().HasAnswer());
}

// Guards against an attempt that stays with a server that leaves, although another one, which has
// refused it before, has recovered, and against one that goes back to a server that is still full.
Test(server_notices, an_attempt_moves_to_a_server_that_has_recovered) {
  query_fixture fixture(1);
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  const auto full = query_fixture::Sends(actions)[0].target;
  actions.clear();
  plan->OnReply(0, query_fixture::RefusalReply(), fixture.now, actions);
  const auto leaving = query_fixture::Sends(actions)[0].target;
  cr_assert(leaving != full);
  ApplyNotice(*leaving, {.is_leaving = true}, fixture.now, 0.0);
  actions.clear();
  cr_assert(!plan->Move(1, fixture.now, actions) && actions.empty());
  fixture.Advance(50);
  full->answered_at = fixture.now;
  cr_assert(plan->Move(1, fixture.now, actions));
  cr_assert(query_fixture::Sends(actions)[0].target == full);
}

// Guards against an answer "may have run" to a request that reached no server: its caller could not
// repeat it.
Test(server_notices, a_request_that_was_not_sent_has_not_run) {
  query_fixture fixture(4);
  const auto plan = fixture.Plan(fixture.search);
  bool was_sent = false;
  plan->SetSentCheck([&was_sent](std::uint32_t) { return was_sent; });
  actions_type actions;
  plan->Start(fixture.now, actions);
  fixture.Advance(1000);
  plan->OnTimer(fixture.now, actions);
  cr_assert(plan->IsDone() && plan->outcome().result.state == run_state::not_run);
  const auto other = fixture.Plan(fixture.search);
  was_sent = true;
  other->SetSentCheck([&was_sent](std::uint32_t) { return was_sent; });
  other->Start(fixture.now, actions);
  fixture.Advance(1000);
  other->OnTimer(fixture.now, actions);
  cr_assert(other->outcome().result.state == run_state::may_have_run);
}

// Guards against a query that is reported as not run although its attempts, on which the same call
// has decided, are sent before the answer.
Test(server_notices, attempts_of_the_same_call_count_as_sent) {
  query_fixture fixture(1);
  fixture.search.shards = {"shard0", "shard0"};
  fixture.search.min_shard_ratio = 1.0;
  fixture.registry.Remove("b0", fixture.now);
  fixture.registry.Find("a0")->limit.OnNamed(1.0, fixture.now);
  fixture.Advance(2000);
  const auto plan = fixture.Plan(fixture.search);
  std::size_t carried_out = 0;
  plan->SetSentCheck([&carried_out](std::uint32_t attempt) { return attempt >= carried_out; });
  actions_type actions;
  plan->Start(fixture.now, actions);
  cr_assert(query_fixture::Sends(actions).size() == 1 && plan->IsDone());
  cr_assert(plan->outcome().result.state == run_state::may_have_run);
}

// Guards against a host that, over freezes, restarts, entries that come back, and answers that are
// late or lost, sends new requests to a leaving server, or more than two into a pause.
Test(server_notices, the_model_finds_no_broken_rule) {
  for (const int hosts : {1, 3, 17, 60, 200}) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      notice_model model(hosts, seed, {});
      model.Run();
      cr_assert(model.broken_drains() == 0 && model.broken_pauses() == 0,
                "%d hosts, seed %d: %d drains, %d pauses", hosts, static_cast<int>(seed),
                model.broken_drains(), model.broken_pauses());
      cr_assert(model.served() > 0.9 * model.asked(), "%d of %d served", model.served(),
                model.asked());
      cr_assert(model.notices() > 0);
      // Each host finds out by itself; the requests are served, since the server still runs.
      cr_assert(model.asked_while_leaving() <= 4 * model.starts(), "%d requests for %d starts",
                model.asked_while_leaving(), model.starts());
    }
  }
}

// Guards against a model that would not find a broken rule.
Test(server_notices, the_model_finds_planted_faults) {
  notice_model drains(17, 1, {.entry_ends_leaving = true});
  drains.Run();
  cr_assert(drains.broken_drains() > 0);
  notice_model pauses(17, 1, {.answer_ends_pause = true});
  pauses.Run();
  cr_assert(pauses.broken_pauses() > 0);
}
