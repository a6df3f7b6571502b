#include <criterion/criterion.h>

#include <map>

#include "query_fixture.h"
#include "replicas/admission.h"

using namespace limpetlever;

namespace {

using actions_type = query_plan::action_list;

/** Answers all attempts except those at the shards in `silent`. */
void AnswerAllExcept(query_plan& plan,
                     const std::vector<query_action>& sends,
                     const std::set<std::string>& silent,
                     query_fixture& fixture,
                     actions_type& actions) {
  for (const query_action& send : sends) {
    if (!silent.contains(send.target->registered.service)) {
      plan.OnReply(send.attempt, query_fixture::SuccessReply("sig" + std::to_string(send.attempt)),
                   fixture.now, actions);
    }
  }
}

}  // namespace

// Guards against an answer that lacks a part although all shards answered, or that has two parts of
// one shard.
Test(query_plan, the_answer_has_one_part_per_shard) {
  query_fixture fixture;
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  const auto sends = fixture.Sends(actions);
  cr_assert(sends.size() == 20);
  fixture.Advance(10);
  AnswerAllExcept(*plan, sends, {}, fixture, actions);
  cr_assert(plan->IsDone());
  cr_assert(plan->outcome().parts.size() == 20);
  cr_assert(plan->outcome().missing_shards == 0);
  cr_assert(plan->outcome().result.state == run_state::ran);
}

// Guards against a query that waits beyond its target latency for stragglers that the answer may
// lack, and against one that abandons them earlier.
Test(query_plan, enough_parts_are_an_answer_only_at_the_target) {
  query_fixture fixture;
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  const auto sends = fixture.Sends(actions);
  fixture.Advance(10);
  AnswerAllExcept(*plan, sends, {"shard3", "shard4"}, fixture, actions);
  cr_assert(!plan->IsDone());
  while (!plan->IsDone()) {
    const auto next = plan->NextTimer();
    cr_assert(next && *next > fixture.now - std::chrono::milliseconds(1));
    fixture.now = *next;
    plan->OnTimer(fixture.now, actions);
  }
  cr_assert(plan->outcome().parts.size() == 18);
  cr_assert(plan->outcome().missing_shards == 2);
  const auto elapsed = fixture.now - instant(std::chrono::seconds(100));
  cr_assert(elapsed >= std::chrono::milliseconds(60) && elapsed <= std::chrono::milliseconds(100));
}

// Guards against an answer with fewer parts than min_shard_ratio requires.
Test(query_plan, too_few_parts_are_no_answer) {
  query_fixture fixture;
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  const auto sends = fixture.Sends(actions);
  AnswerAllExcept(*plan, sends, {"shard0", "shard1", "shard2"}, fixture, actions);
  fixture.Advance(1000);
  plan->OnTimer(fixture.now, actions);
  cr_assert(plan->IsDone());
  cr_assert(!plan->outcome().HasAnswer());
  cr_assert(plan->outcome().result.state == run_state::may_have_run);
}

// Guards against keeping a query that cannot get enough answers, and against sending some of its
// attempts.
Test(query_plan, a_query_without_enough_servers_is_refused_at_once) {
  query_fixture fixture;
  for (const char* id : {"a0", "b0", "a1", "b1", "a2", "b2"}) {
    fixture.registry.Remove(id, fixture.now);
  }
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  cr_assert(plan->IsDone());
  cr_assert(fixture.Sends(actions).empty());
  cr_assert(plan->outcome().result.state == run_state::not_run);
}

// Guards against accepting a server's error response as a part because it is signed.
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

// Guards against running a non-idempotent request twice after a lost connection.
Test(query_plan, a_lost_connection_ends_a_non_idempotent_request) {
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

// Guards against hedging a non-idempotent request.
Test(query_plan, a_non_idempotent_request_is_not_hedged) {
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

// Guards against not retrying a request that a server refused without running it, and against
// reporting it as run when all servers refuse it.
Test(query_plan, a_refusal_is_retried_at_another_server_and_stays_not_run) {
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
    plan->OnReply(sends[0].attempt, query_fixture::RefusalReply(), fixture.now, actions);
  }
  cr_assert(plan->IsDone());
  cr_assert(asked.size() == 2, "no more servers than max_attempts");
  cr_assert(plan->outcome().result.state == run_state::not_run);
}

// Guards against sending a request to more servers per shard than max_attempts, for random orders
// of answers, refusals, failures and hedges.
Test(query_plan, no_shard_asks_more_servers_than_allowed) {
  query_fixture fixture;
  for (int i = 0; i < 20; ++i) {
    fixture.AddServer("c" + std::to_string(i), "shard" + std::to_string(i), "dc-b");
  }
  random_source random(11);
  for (int round = 0; round < 200; ++round) {
    const auto plan = fixture.Plan(fixture.search);
    std::map<std::string, std::set<const replica_record*>> asked;
    actions_type actions;
    plan->Start(fixture.now, actions);
    std::vector<query_action> open = fixture.Sends(actions);
    while (!plan->IsDone() && !open.empty()) {
      actions.clear();
      const std::size_t at = random.Below(open.size());
      const query_action send = open[at];
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
      asked[send.target->registered.service].insert(send.target.get());
      switch (random.Below(4)) {
        case 0:
          plan->OnReply(send.attempt, query_fixture::RefusalReply(), fixture.now, actions);
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
          plan->OnReply(send.attempt, query_fixture::SuccessReply("s"), fixture.now, actions);
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

// Guards against a request that runs on a third server although two are allowed: it was to be
// repeated at one of two servers that had run it, and was moved before it was sent again.
Test(query_plan, a_moved_repetition_goes_to_no_further_server) {
  query_fixture fixture(1);
  fixture.AddServer("c0", "shard0", "dc-b");
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  std::set<std::string> ran;
  for (std::uint32_t attempt = 0; attempt < 2; ++attempt) {
    ran.insert(query_fixture::Sends(actions).back().target->registered.id);
    plan->OnReply(attempt, {.status = 500}, fixture.now, actions);
  }
  cr_assert(ran.size() == 2);
  const auto repeated = query_fixture::Sends(actions).back().target;
  cr_assert(ran.contains(repeated->registered.id));
  replica entry = repeated->registered;
  entry.is_draining = true;
  fixture.registry.Put(entry, fixture.now);
  actions.clear();
  plan->Move(2, fixture.now, actions);
  for (const query_action& send : query_fixture::Sends(actions)) {
    cr_assert(ran.contains(send.target->registered.id), "%s", send.target->registered.id.c_str());
  }
}

// Guards against a request that runs on more servers than allowed, for random orders of answers,
// failures, hedges, moves and connections that fail, and against an unreachable server that takes
// the place of one that could have been asked.
Test(query_plan, attempts_that_were_not_sent_are_not_counted) {
  random_source random(5);
  int moves = 0;
  int third_servers = 0;
  for (int round = 0; round < 2000; ++round) {
    query_fixture fixture(1);
    fixture.AddServer("c0", "shard0", "dc-b");
    fixture.AddServer("d0", "shard0", "dc-b");
    const auto plan = fixture.Plan(fixture.search);
    std::set<std::uint32_t> sent;
    plan->SetSentCheck([&sent](std::uint32_t attempt) { return sent.contains(attempt); });
    std::set<std::string> ran;
    std::set<std::string> unreachable;
    actions_type actions;
    plan->Start(fixture.now, actions);
    std::vector<query_action> open = fixture.Sends(actions);
    for (int step = 0; step < 30 && !plan->IsDone() && !open.empty(); ++step) {
      actions.clear();
      const std::size_t at = random.Below(open.size());
      const query_action action = open[at];
      const std::string& id = action.target->registered.id;
      bool is_over = true;
      if (!sent.contains(action.attempt)) {
        const auto choice = random.Below(3);
        replica entry = action.target->registered;
        entry.is_draining = true;
        if (choice == 0) {
          sent.insert(action.attempt);
          ran.insert(id);
          is_over = false;
        } else if (choice == 1) {
          unreachable.insert(id);
          plan->OnFailure(action.attempt, attempt_failure::not_connected, fixture.now, actions);
        } else {
          fixture.registry.Put(entry, fixture.now);
          is_over = plan->Move(action.attempt, fixture.now, actions);
          moves += is_over ? 1 : 0;
        }
      } else if (random.Below(3) == 0) {
        fixture.Advance(20);
        plan->OnTimer(fixture.now, actions);
        is_over = false;
      } else {
        plan->OnReply(action.attempt, {.status = 500}, fixture.now, actions);
      }
      if (is_over) {
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
      }
      for (const query_action& more : fixture.Sends(actions)) {
        open.push_back(more);
      }
    }
    cr_assert(ran.size() <= 2, "round %d", round);
    third_servers += !unreachable.empty() && ran.size() == 2 ? 1 : 0;
  }
  cr_assert(moves > 100 && third_servers > 100, "%d %d", moves, third_servers);
}

// Guards against waiting for a stalled server while another one is free.
Test(query_plan, a_straggler_is_hedged_at_another_server) {
  query_fixture fixture;
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  const auto sends = fixture.Sends(actions);
  fixture.Advance(5);
  AnswerAllExcept(*plan, sends, {"shard7"}, fixture, actions);
  actions.clear();
  fixture.now = *plan->NextTimer();
  plan->OnTimer(fixture.now, actions);
  const auto hedges = fixture.Sends(actions);
  cr_assert(hedges.size() == 1);
  cr_assert(hedges[0].reason == send_reason::hedge);
  cr_assert(hedges[0].target->registered.service == "shard7");
}

// Guards against hedges that exceed the retry budget.
Test(query_plan, an_empty_budget_allows_no_hedge) {
  query_fixture fixture;
  fixture.state.budget_limits = {.per_request = 0.0, .burst = 0.0};
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  actions.clear();
  fixture.now = *plan->NextTimer();
  plan->OnTimer(fixture.now, actions);
  cr_assert(fixture.Sends(actions).empty());
  cr_assert(plan->budget_refusals() == 20);
}

// Guards against overloading slow shards, which happens if every query asks all of them although an
// answer may lack some.
Test(query_plan, different_queries_omit_different_late_shards) {
  query_fixture fixture;
  // Three shards whose servers all take ten times the typical latency; an answer may lack two.
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
    cr_assert(plan->omitted_shards() == 2);
    for (const query_action& send : fixture.Sends(actions)) {
      ++asked[send.target->registered.service];
      send.target->load.OnCancelled(fixture.now, fixture.now, std::chrono::milliseconds(25));
    }
  }
  for (const char* late : {"shard0", "shard1", "shard2"}) {
    cr_assert(asked[late] >= 5 && asked[late] <= 40, "%s %d", late, asked[late]);
  }
  cr_assert(asked["shard9"] == 60);
}

// Guards against further requests to an address that now belongs to another server.
Test(query_plan, a_misdirected_request_is_retried_at_another_server) {
  query_fixture fixture;
  const auto plan = fixture.Plan(fixture.record);
  actions_type actions;
  plan->Start(fixture.now, actions);
  const auto sends = fixture.Sends(actions);
  actions.clear();
  plan->OnReply(sends[0].attempt, {.status = 421, .is_not_run = true, .is_misdirected = true},
                fixture.now, actions);
  cr_assert(!IsUsable(*sends[0].target));
  cr_assert(fixture.Sends(actions).size() == 1);
  cr_assert(fixture.Sends(actions)[0].target != sends[0].target);
}

// Guards against mixing parts of two configuration versions in one answer.
Test(query_plan, a_query_keeps_its_version) {
  query_fixture fixture;
  const auto plan = fixture.Plan(fixture.search);
  cr_assert(plan->config_version() == 7);
  fixture.search.shards = {"other"};
  actions_type actions;
  plan->Start(fixture.now, actions);
  for (const query_action& send : fixture.Sends(actions)) {
    cr_assert(send.target->registered.service.starts_with("shard"));
  }
}

// Guards against omitting a shard because its only server pauses briefly, which every server does
// from time to time: it answers after the pause.
Test(query_plan, a_pause_does_not_omit_a_shard) {
  query_fixture fixture;
  fixture.registry.Remove("b0", fixture.now);
  fixture.registry.Find("a0")->load.OnSent(fixture.now);
  fixture.Advance(90);
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  cr_assert(plan->omitted_shards() == 0);
  cr_assert(fixture.Sends(actions).size() == 20);
}

// Guards against a request that crashes one server after another within one query: it is known to
// crash servers, but the query goes on to the next ones.
Test(query_plan, a_forbidden_retry_is_not_sent) {
  query_fixture fixture(4);
  fixture.search.min_shard_ratio = 0.5;
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  cr_assert(query_fixture::Sends(actions).size() == 4);
  plan->ForbidRetries();
  for (std::uint32_t attempt = 0; attempt < 3; ++attempt) {
    actions.clear();
    plan->OnFailure(attempt, attempt_failure::connection_lost, fixture.now, actions);
    cr_assert(query_fixture::Sends(actions).empty());
  }
  cr_assert(plan->IsDone() && plan->outcome().result.state == run_state::may_have_run);
}

// Guards against a query that waits, or uses up what servers in need allow, although their limits
// allow too few shards: it is rejected at once and says when to come back.
Test(query_plan, is_rejected_at_once_if_limits_allow_too_few_shards) {
  query_fixture fixture(10);
  fixture.search.min_shard_ratio = 0.9;
  for (int i = 0; i < 2; ++i) {
    for (const char* side : {"a", "b"}) {
      fixture.registry.Find(side + std::to_string(i))->limit.OnNamed(0.5, fixture.now);
    }
  }
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  cr_assert(plan->IsDone() && query_fixture::Sends(actions).empty());
  cr_assert(plan->outcome().result.state == run_state::not_run && plan->limited_shards() == 2);
  const duration retry_after = plan->outcome().retry_after;
  cr_assert(retry_after > std::chrono::seconds(1) && retry_after < std::chrono::seconds(5));
  fixture.now += retry_after;
  const auto later = fixture.Plan(fixture.search);
  actions.clear();
  later->Start(fixture.now, actions);
  cr_assert(query_fixture::Sends(actions).size() >= 9);
}

// Guards against a caller that is told to come back after minutes, by a host that has no part in
// the limits, while other hosts could serve it.
Test(query_plan, a_host_without_a_part_in_a_limit_does_not_send_callers_away_for_long) {
  query_fixture fixture(1);
  fixture.registry.SetLimitSharers(
      limit_sharers("host", std::vector<std::string>(30, "other"), 1000), true, fixture.now);
  for (const char* id : {"a0", "b0"}) {
    fixture.registry.Find(id)->limit.OnNamed(1.0, fixture.now);
  }
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  cr_assert(plan->IsDone() && plan->limited_shards() == 1);
  const duration retry_after = plan->outcome().retry_after;
  cr_assert(retry_after > duration::zero() && retry_after <= std::chrono::seconds(5));
}

// Guards against attempts beyond the limit of a server: first attempts, retries and hedges go to
// another server or are not sent.
Test(query_plan, keeps_to_the_limit_of_a_server) {
  query_fixture fixture(4);
  fixture.search.min_shard_ratio = 0.5;
  const auto limited = fixture.registry.Find("a0");
  limited->limit.OnNamed(1.0, fixture.now);
  fixture.registry.Find("b1")->limit.OnNamed(1000.0, fixture.now);
  fixture.Advance(1000);
  std::map<std::string, int> sends;
  for (int query = 0; query < 50; ++query) {
    const auto plan = fixture.Plan(fixture.search);
    actions_type actions;
    plan->Start(fixture.now, actions);
    for (const query_action& send : query_fixture::Sends(actions)) {
      replica_reply reply = query_fixture::SuccessReply("s");
      if (send.target->limit.IsNamed()) {
        reply.request_limit = send.target->limit.requests_per_s();
      }
      if (query % 5 == 0) {
        plan->OnFailure(send.attempt, attempt_failure::connection_lost, fixture.now, actions);
      } else {
        plan->OnReply(send.attempt, std::move(reply), fixture.now, actions);
      }
    }
    fixture.Advance(100);
    plan->OnTimer(fixture.now, actions);
    for (const query_action& send : query_fixture::Sends(actions)) {
      ++sends[send.target->registered.id];
      cr_assert(send.reason != send_reason::hedge || !send.target->limit.IsNamed());
    }
  }
  cr_assert(sends["a0"] <= 6, "%d requests in 5 s at a limit of 1 a second", sends["a0"]);
  cr_assert(sends["b0"] >= 40);
}

// Guards against a limit that an answer names, or no longer names, and that is not kept.
Test(query_plan, follows_the_limit_that_answers_name) {
  query_fixture fixture(1);
  const auto ask = [&fixture](std::optional<double> limit, bool is_refused = false) {
    const auto plan = fixture.Plan(fixture.search);
    actions_type actions;
    fixture.Advance(1);
    plan->Start(fixture.now, actions);
    const auto sent = query_fixture::Sends(actions);
    cr_assert(sent.size() == 1);
    replica_reply reply =
        is_refused ? query_fixture::RefusalReply() : query_fixture::SuccessReply("s");
    reply.request_limit = limit;
    fixture.Advance(1);
    plan->OnReply(sent[0].attempt, std::move(reply), fixture.now, actions);
    return sent[0].target;
  };
  const auto first = ask(2.5);
  cr_assert(first->limit.IsNamed() && first->limit.requests_per_s() == 2.5);
  const auto second = ask(2.5);
  cr_assert(second != first && second->limit.IsNamed());
  fixture.Advance(5000);
  cr_assert(ask(std::nullopt, true)->limit.IsNamed(), "a refusal says nothing on the limit");
  fixture.Advance(5000);
  cr_assert(!ask(std::nullopt)->limit.IsNamed());
}

// Guards against a cold server that gets the whole load: first attempts, retries and hedges go to
// another server or are not sent.
Test(query_plan, keeps_to_the_limit_of_a_cold_server) {
  query_fixture fixture(1);
  fixture.registry.SetLimitSharers(limit_sharers("h", {"h"}, 1), true, fixture.now);
  fixture.registry.SetServices({{.name = "shard0", .cold_requests_per_s = 10.0}}, fixture.now);
  const auto cold = fixture.registry.Find("a0");
  cold->warm_up.OnColdUntil(fixture.now + std::chrono::seconds(5), fixture.now);
  int sent_to_cold = 0;
  for (int query = 0; query < 500; ++query) {
    const auto plan = fixture.Plan(fixture.search);
    actions_type actions;
    plan->Start(fixture.now, actions);
    for (const query_action& send : query_fixture::Sends(actions)) {
      plan->OnFailure(send.attempt, attempt_failure::connection_lost, fixture.now, actions);
    }
    fixture.Advance(10);
    plan->OnTimer(fixture.now, actions);
    for (const query_action& send : query_fixture::Sends(actions)) {
      sent_to_cold += send.target == cold ? 1 : 0;
      cr_assert(send.reason != send_reason::hedge || send.target != cold);
    }
  }
  cr_assert(sent_to_cold <= 40, "%d requests in 5 s at 10 a second", sent_to_cold);
}

// Guards against requests that wait for cold servers, or whose callers are not told when to return.
Test(query_plan, rejects_at_once_what_cold_servers_cannot_take) {
  query_fixture fixture(1);
  fixture.registry.SetLimitSharers(limit_sharers("h", {"h"}, 1), true, fixture.now);
  fixture.registry.SetServices({{.name = "shard0", .cold_requests_per_s = 1.0}}, fixture.now);
  for (const char* id : {"a0", "b0"}) {
    fixture.registry.Find(id)->warm_up.OnColdUntil(fixture.now + std::chrono::seconds(1),
                                                   fixture.now);
  }
  const auto plan = fixture.Plan(fixture.search);
  actions_type actions;
  plan->Start(fixture.now, actions);
  cr_assert(plan->IsDone() && query_fixture::Sends(actions).empty());
  cr_assert(plan->outcome().result.state == run_state::not_run);
  cr_assert(plan->outcome().retry_after == std::chrono::seconds(1));
  fixture.Advance(1000);
  const auto later = fixture.Plan(fixture.search);
  actions.clear();
  later->Start(fixture.now, actions);
  cr_assert(query_fixture::Sends(actions).size() == 1);
}
