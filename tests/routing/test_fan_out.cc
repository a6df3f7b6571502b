#include <criterion/criterion.h>

#include <algorithm>

#include "routing_fixture.h"

using namespace limpetlever;

namespace {

/** A query over one workload with a replica selector and service records of its own. */
struct query_fixture {
  explicit query_fixture(const partition_map& map, query_request request = Query(100))
      : query(std::move(request), std::make_shared<partition_map>(map), selector, services) {}
  replica_selector selector{"dc-a", 1};
  service_records services;
  fan_out query;
};

int CountSends(const std::vector<fan_out_action>& actions) {
  return static_cast<int>(std::ranges::count_if(actions, IsSend));
}

}  // namespace

// Guards against stragglers that are not hedged or are hedged too early or twice, and against
// attempts that are not cancelled after the other one has answered.
Test(fan_out, hedges_at_the_percentile_and_cancels_the_slower_attempt) {
  query_fixture test(Map(1, 1, 3));
  RecordTraffic(test.services);
  const auto first = test.query.Start(At(0));
  const instant due = *test.query.NextTimer();
  cr_assert(due >= At(9.9) && due <= At(10.6));
  const auto hedge = test.query.OnTimer(due);
  cr_assert(CountSends(hedge) == 1 && hedge[0].attempt.replica != first[0].attempt.replica);
  cr_assert(*test.query.NextTimer() == At(100));
  const auto done = test.query.OnResult(Result(hedge[0].attempt, Ran()), At(12));
  cr_assert(done.size() == 1 && !IsSend(done[0]) && done[0].attempt.id == first[0].attempt.id);
  cr_assert(test.query.IsDone() && test.query.Answer(At(12)).hedges == 1);
  cr_assert(test.query.OnResult(Result(first[0].attempt, Ran()), At(13)).empty());
  cr_assert(test.query.dropped_results() == 1);
}

// Guards against hedges of requests that must not run twice, and against retries of those that may
// have run.
Test(fan_out, non_idempotent_requests_are_repeated_only_after_not_run) {
  query_request request = Query(100);
  request.idempotent = false;
  query_fixture test(Map(1, 1, 3), request);
  RecordTraffic(test.services);
  const auto first = test.query.Start(At(0));
  cr_assert(*test.query.NextTimer() == At(100));
  const auto retry =
      test.query.OnResult(Result(first[0].attempt, NotRun(errc::replica_full)), At(1));
  cr_assert(CountSends(retry) == 1);
  test.query.OnResult(Result(retry[0].attempt, MayHaveRun(errc::connection_lost)), At(2));
  cr_assert(test.query.IsDone());
  cr_assert(test.query.Answer(At(2)).outcome.state == run_state::may_have_run);
}

// Guards against a retry through an owner that does not know of the block yet, which would crash a
// third server, and against refusing the whole query when one shard is blocked.
Test(fan_out, a_blocked_shard_is_missing_and_not_retried) {
  query_fixture test(Map(1, 2, 3));
  RecordTraffic(test.services);
  const auto first = test.query.Start(At(0));
  cr_assert(
      test.query.OnResult(Result(first[0].attempt, NotRun(errc::request_blocked)), At(1)).empty());
  test.query.OnResult(Result(first[1].attempt, Ran()), At(2));
  const query_answer answer = test.query.Answer(At(2));
  cr_assert(test.query.IsDone() && answer.outcome == Ran() && answer.answers.size() == 1);
  cr_assert(answer.missing.size() == 1 && answer.missing[0].shard == 0);
  cr_assert(answer.missing[0].reason == "request_blocked", "%s", answer.missing[0].reason.c_str());
}

// Guards against retries without budget, without time left, or at a replica that was already tried.
Test(fan_out, retries_need_budget_time_and_an_untried_replica) {
  query_fixture no_budget(Map(1, 1, 3));
  auto actions = no_budget.query.Start(At(0));
  no_budget.query.OnResult(Result(actions[0].attempt, NotRun(errc::shed)), At(1));
  cr_assert(no_budget.query.IsDone());
  cr_assert(no_budget.query.Answer(At(1)).outcome.state == run_state::not_run);

  query_fixture no_time(Map(1, 1, 3));
  RecordTraffic(no_time.services);
  actions = no_time.query.Start(At(0));
  no_time.query.OnResult(Result(actions[0].attempt, NotRun(errc::shed)), At(95));
  cr_assert(no_time.query.IsDone());

  query_fixture with_budget(Map(1, 1, 3));
  RecordTraffic(with_budget.services);
  actions = with_budget.query.Start(At(0));
  std::set<std::string> tried;
  while (CountSends(actions) == 1) {
    cr_assert(tried.insert(actions[0].attempt.replica).second);
    actions = with_budget.query.OnResult(Result(actions[0].attempt, NotRun(errc::shed)), At(1));
  }
  cr_assert(tried.size() == 3 && with_budget.query.IsDone());
  cr_assert(with_budget.query.Answer(At(1)).retries == 2);
}

// Guards against waiting for shards beyond the wanted coverage, and against ending the query before
// a hedge could have been sent.
Test(fan_out, ends_early_at_the_wanted_coverage_after_the_hedge_delay) {
  query_request request = Query(100);
  request.wanted_coverage = 0.7;
  query_fixture test(Map(1, 10, 1), request);
  RecordTraffic(test.services);
  const auto first = test.query.Start(At(0));
  for (int shard = 0; shard < 7; ++shard) {
    cr_assert(!test.query.IsDone());
    test.query.OnResult(Result(first[shard].attempt, Ran()), At(5));
  }
  cr_assert(!test.query.IsDone());
  const instant due = *test.query.NextTimer();
  cr_assert(due < At(11));
  cr_assert(test.query.OnTimer(due).size() == 3);
  cr_assert(test.query.IsDone() && test.query.Answer(due).missing.size() == 3);
}

// Guards against an answer after the deadline, and against one that does not list missing shards.
Test(fan_out, answers_partially_at_the_deadline) {
  query_fixture test(Map(1, 3, 1));
  const auto first = test.query.Start(At(0));
  test.query.OnResult(Result(first[1].attempt, Ran()), At(5));
  cr_assert(test.query.OnTimer(At(100)).size() == 2);
  const query_answer answer = test.query.Answer(At(100));
  cr_assert(answer.answers.size() == 1 && answer.answers[0].shard == 1);
  cr_assert(answer.missing.size() == 2 && answer.missing[0].reason == "deadline");

  query_fixture expired(Map(1, 3, 1), Query(0));
  cr_assert(expired.query.Start(At(0)).empty() && expired.query.IsDone());
  cr_assert(expired.query.Answer(At(0)).outcome.state == run_state::not_run);
}

// Guards against an answer that mixes two index versions, against a second restart, and against a
// restart on a version that cannot be complete.
Test(fan_out, restarts_once_on_a_version_that_can_be_complete) {
  query_fixture test(Map(1, 2, 1));
  auto snapshot = std::make_shared<routing_snapshot>();
  snapshot->workloads["matching"] = {Map(3, 4, 0), Map(2, 3, 1), Map(1, 2, 1)};
  test.query.SetSnapshot(snapshot);
  const auto first = test.query.Start(At(0));
  test.query.OnResult(Result(first[0].attempt, Ran()), At(1));
  const auto restarted =
      test.query.OnResult(Result(first[1].attempt, NotRun(errc::version_gone)), At(2));
  cr_assert(CountSends(restarted) == 3 && test.query.restarts() == 1);
  cr_assert(std::ranges::all_of(
      restarted, [](const auto& action) { return action.attempt.snapshot_version == 2; }));
  test.query.OnResult(Result(first[0].attempt, Ran()), At(3));
  cr_assert(test.query.dropped_results() == 1);
  test.query.OnResult(Result(restarted[0].attempt, Ran()), At(4));
  test.query.OnResult(Result(restarted[1].attempt, Ran()), At(4));
  cr_assert(
      test.query.OnResult(Result(restarted[2].attempt, NotRun(errc::version_gone)), At(4)).empty());
  const query_answer answer = test.query.Answer(At(5));
  cr_assert(answer.snapshot_version == 2 && answer.shard_count == 3);
  cr_assert(answer.answers.size() == 2 && answer.missing.size() == 1);
}

// Guards against the outcome "not run" after a restart that discarded answers of attempts that ran.
Test(fan_out, not_run_counts_the_attempts_before_a_restart) {
  query_fixture test(Map(1, 2, 1));
  auto snapshot = std::make_shared<routing_snapshot>();
  snapshot->workloads["matching"] = {Map(2, 1, 1)};
  test.query.SetSnapshot(snapshot);
  const auto first = test.query.Start(At(0));
  test.query.OnResult(Result(first[0].attempt, Ran()), At(1));
  const auto restarted =
      test.query.OnResult(Result(first[1].attempt, NotRun(errc::version_gone)), At(2));
  test.query.OnResult(Result(restarted[0].attempt, NotRun(errc::shed)), At(3));
  cr_assert(test.query.IsDone());
  cr_assert(test.query.Answer(At(3)).outcome.state == run_state::may_have_run);
}

// Guards against a result of another query, shard, attempt, replica or version closing an attempt.
Test(fan_out, counts_and_drops_crossed_results) {
  query_fixture test(Map(1, 2, 2));
  const auto first = test.query.Start(At(0));
  const attempt_result matching = Result(first[0].attempt, Ran());
  std::vector<attempt_result> crossed(5, matching);
  crossed[0].id.query += 1;
  crossed[1].id.shard = 1;
  crossed[2].id.ordinal += 9;
  crossed[3].replica = "0-9";
  crossed[4].snapshot_version = 2;
  for (const attempt_result& result : crossed) {
    test.query.OnResult(result, At(1));
    cr_assert(test.query.Answer(At(1)).answers.empty());
  }
  test.query.OnResult(matching, At(2));
  test.query.OnResult(matching, At(2));
  cr_assert(test.query.dropped_results() == 6 && test.query.Answer(At(2)).answers.size() == 1);
}
