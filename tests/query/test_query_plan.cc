#include <criterion/criterion.h>

#include <map>

#include "query_fixture.h"

using namespace limpetlever;

namespace {

using actions_type = query_plan::action_list;

/** Answers all attempts but those of the given shards. */
void AnswerAllBut(query_plan& plan,
                  const std::vector<query_action>& sends,
                  const std::set<std::string>& silent,
                  query_fixture& fixture,
                  actions_type& actions) {
  for (const query_action& send : sends) {
    if (!silent.contains(send.target->stated.service)) {
      plan.OnReply(send.attempt, query_fixture::Good("sig" + std::to_string(send.attempt)),
                   fixture.now, actions);
    }
  }
}

}  // namespace

// Guards against an answer that lacks a part although all came, or names more than one a shard.
Test(query_plan, all_parts_are_in) {
  query_fixture fixture;
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  const auto sends = fixture.Sends(actions);
  cr_assert(sends.size() == 20);
  fixture.Advance(10);
  AnswerAllBut(*plan, sends, {}, fixture, actions);
  cr_assert(plan->IsDone());
  cr_assert(plan->outcome().parts.size() == 20);
  cr_assert(plan->outcome().missing_parts == 0);
  cr_assert(plan->outcome().result.state == run_state::ran);
}

// Guards against a query that waits past its target for stragglers it can do without, and against
// giving them up while there is time.
Test(query_plan, enough_parts_are_an_answer_only_at_the_target) {
  query_fixture fixture;
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  const auto sends = fixture.Sends(actions);
  fixture.Advance(10);
  AnswerAllBut(*plan, sends, {"shard3", "shard4"}, fixture, actions);
  cr_assert(!plan->IsDone());
  while (!plan->IsDone()) {
    const auto next = plan->NextTimer();
    cr_assert(next && *next > fixture.now - std::chrono::milliseconds(1));
    fixture.now = *next;
    plan->OnTimer(fixture.now, actions);
  }
  cr_assert(plan->outcome().parts.size() == 18);
  cr_assert(plan->outcome().missing_parts == 2);
  const auto elapsed = fixture.now - instant(std::chrono::seconds(100));
  cr_assert(elapsed >= std::chrono::milliseconds(60) && elapsed <= std::chrono::milliseconds(100));
}

// Guards against an answer below the least share of shards.
Test(query_plan, too_few_parts_are_no_answer) {
  query_fixture fixture;
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  const auto sends = fixture.Sends(actions);
  AnswerAllBut(*plan, sends, {"shard0", "shard1", "shard2"}, fixture, actions);
  fixture.Advance(1000);
  plan->OnTimer(fixture.now, actions);
  cr_assert(plan->IsDone());
  cr_assert(!plan->outcome().HasAnswer());
  cr_assert(plan->outcome().result.state == run_state::may_have_run);
}

// Guards against holding a request that is known to be lost, and against sending a part of it.
Test(query_plan, a_query_without_enough_servers_is_refused_at_once) {
  query_fixture fixture;
  for (const char* id : {"a0", "b0", "a1", "b1", "a2", "b2"}) {
    fixture.registry.Remove(id);
  }
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  cr_assert(plan->IsDone());
  cr_assert(fixture.Sends(actions).empty());
  cr_assert(plan->outcome().result.state == run_state::not_run);
}

// Guards against a failed answer of a server that counts as a part because it is signed.
Test(query_plan, a_signed_failure_is_no_part) {
  query_fixture fixture;
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  const auto sends = fixture.Sends(actions);
  actions.clear();
  plan->OnReply(sends[0].attempt, {.status = 500, .signature = "sig", .body = std::string(16, 'y')},
                fixture.now, actions);
  const auto again = fixture.Sends(actions);
  cr_assert(again.size() == 1);
  cr_assert(again[0].reason == send_reason::retry);
  cr_assert(again[0].target != sends[0].target);
}

// Guards against a second run of a request that may run once only.
Test(query_plan, a_lost_connection_ends_a_request_that_may_run_once) {
  query_fixture fixture;
  const auto plan = fixture.Plan(fixture.record);
  actions_type actions;
  plan->Start(fixture.now, actions);
  const auto sends = fixture.Sends(actions);
  cr_assert(sends.size() == 1);
  actions.clear();
  plan->OnFailure(sends[0].attempt, attempt_failure::connection_lost, fixture.now, actions);
  cr_assert(plan->IsDone());
  cr_assert(fixture.Sends(actions).empty());
  cr_assert(plan->outcome().result.state == run_state::may_have_run);
}

// Guards against a hedge of a request that may run once only.
Test(query_plan, a_request_that_may_run_once_is_not_hedged) {
  query_fixture fixture;
  const auto plan = fixture.Plan(fixture.record);
  actions_type actions;
  plan->Start(fixture.now, actions);
  actions.clear();
  for (int i = 0; i < 90; ++i) {
    fixture.Advance(10);
    plan->OnTimer(fixture.now, actions);
  }
  cr_assert(fixture.Sends(actions).empty());
}

// Guards against giving up a request that a server refused without running it.
Test(query_plan, a_refusal_is_tried_elsewhere_and_stays_not_run) {
  query_fixture fixture;
  const auto plan = fixture.Plan(fixture.record);
  actions_type actions;
  plan->Start(fixture.now, actions);
  std::set<const replica_record*> asked;
  for (int i = 0; i < 10 && !plan->IsDone(); ++i) {
    const auto sends = fixture.Sends(actions);
    actions.clear();
    cr_assert(sends.size() == 1);
    asked.insert(sends[0].target.get());
    plan->OnReply(sends[0].attempt, query_fixture::Refusal(), fixture.now, actions);
  }
  cr_assert(plan->IsDone());
  cr_assert(asked.size() == 2, "no more servers than max_attempts");
  cr_assert(plan->outcome().result.state == run_state::not_run);
}

// Guards against work on more servers than the route allows, for any order of failures.
Test(query_plan, no_shard_reaches_more_servers_than_allowed) {
  query_fixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.AddServer("c" + std::to_string(i), "shard" + std::to_string(i), "dc-b");
  }
  random_source dice(11);
  for (int round = 0; round < 200; ++round) {
    const auto plan = fixture.Plan(fixture.search);
    std::map<std::string, std::set<const replica_record*>> asked;
    actions_type actions;
    plan->Start(fixture.now, actions);
    std::vector<query_action> open = fixture.Sends(actions);
    while (!plan->IsDone() && !open.empty()) {
      actions.clear();
      const std::size_t at = dice.Below(open.size());
      const query_action send = open[at];
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
      asked[send.target->stated.service].insert(send.target.get());
      switch (dice.Below(4)) {
        case 0:
          plan->OnReply(send.attempt, query_fixture::Refusal(), fixture.now, actions);
          break;
        case 1:
          plan->OnFailure(send.attempt, attempt_failure::connection_lost, fixture.now, actions);
          break;
        case 2:
          fixture.Advance(3);
          plan->OnTimer(fixture.now, actions);
          open.push_back(send);
          break;
        default:
          plan->OnReply(send.attempt, query_fixture::Good("s"), fixture.now, actions);
      }
      for (const query_action& more : fixture.Sends(actions)) {
        open.push_back(more);
      }
    }
    for (const auto& [service, servers] : asked) {
      cr_assert(servers.size() <= 2, "%s", service.c_str());
    }
    for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(plan->attempts()); ++i) {
      plan->OnCancelled(i, fixture.now);
    }
    fixture.Advance(5000);
  }
}

// Guards against waiting for a server that has stopped while another one is free.
Test(query_plan, a_straggler_is_hedged_at_another_server) {
  query_fixture fixture;
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  const auto sends = fixture.Sends(actions);
  fixture.Advance(5);
  AnswerAllBut(*plan, sends, {"shard7"}, fixture, actions);
  actions.clear();
  fixture.now = *plan->NextTimer();
  plan->OnTimer(fixture.now, actions);
  const auto hedges = fixture.Sends(actions);
  cr_assert(hedges.size() == 1);
  cr_assert(hedges[0].reason == send_reason::hedge);
  cr_assert(hedges[0].target->stated.service == "shard7");
}

// Guards against hedges beyond the budget.
Test(query_plan, an_empty_budget_allows_no_hedge) {
  query_fixture fixture;
  fixture.state.terms = {.per_request = 0.0, .burst = 0.0};
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  actions.clear();
  fixture.now = *plan->NextTimer();
  plan->OnTimer(fixture.now, actions);
  cr_assert(fixture.Sends(actions).empty());
  cr_assert(plan->refused_extras() == 20);
}

// Guards against overloading shards that are late for every query, when an answer may lack them.
Test(query_plan, late_shards_are_left_out_by_turns) {
  query_fixture fixture;
  // Three shards whose servers all take ten times as long; an answer may lack two.
  for (const char* id : {"a0", "b0", "a1", "b1", "a2", "b2"}) {
    replica_load& load = fixture.registry.Find(id)->load;
    for (int i = 0; i < 20; ++i) {
      load.OnSent(fixture.now);
      load.OnAnswered(fixture.now, fixture.now + std::chrono::milliseconds(250),
                      std::chrono::milliseconds(25));
    }
  }
  fixture.Advance(250);
  std::map<std::string, int> asked;
  for (int round = 0; round < 60; ++round) {
    const auto plan = fixture.Plan(fixture.search);
    actions_type actions;
    plan->Start(fixture.now, actions);
    cr_assert(plan->omitted() == 2);
    for (const query_action& send : fixture.Sends(actions)) {
      ++asked[send.target->stated.service];
      send.target->load.OnCancelled(fixture.now, fixture.now, std::chrono::milliseconds(25));
    }
  }
  for (const char* late : {"shard0", "shard1", "shard2"}) {
    cr_assert(asked[late] >= 5 && asked[late] <= 40, "%s %d", late, asked[late]);
  }
  cr_assert(asked["shard9"] == 60);
}

// Guards against requests to a server that has taken over the address of another one.
Test(query_plan, a_misdirected_request_goes_elsewhere) {
  query_fixture fixture;
  const auto plan = fixture.Plan(fixture.record);
  actions_type actions;
  plan->Start(fixture.now, actions);
  const auto sends = fixture.Sends(actions);
  actions.clear();
  plan->OnReply(sends[0].attempt, {.status = 421, .is_not_run = true, .is_misdirected = true},
                fixture.now, actions);
  cr_assert(!sends[0].target->is_usable);
  cr_assert(fixture.Sends(actions).size() == 1);
  cr_assert(fixture.Sends(actions)[0].target != sends[0].target);
}

// Guards against parts of two versions in one answer: a query keeps the set it began with.
Test(query_plan, a_query_keeps_its_version) {
  query_fixture fixture;
  const auto plan = fixture.Plan(fixture.search);
  cr_assert(plan->config_version() == 7);
  fixture.search.shards = {"other"};
  actions_type actions;
  plan->Start(fixture.now, actions);
  for (const query_action& send : fixture.Sends(actions)) {
    cr_assert(send.target->stated.service.starts_with("shard"));
  }
}

// Guards against leaving out a shard whose only server pauses for a moment, as each does now and
// then; it answers when it goes on.
Test(query_plan, a_pause_does_not_leave_out_a_shard) {
  query_fixture fixture;
  fixture.registry.Remove("b0");
  fixture.registry.Find("a0")->load.OnSent(fixture.now);
  fixture.Advance(90);
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  cr_assert(plan->omitted() == 0);
  cr_assert(fixture.Sends(actions).size() == 20);
}
