#include <criterion/criterion.h>

#include <string>

#include "claim_world.h"
#include "claims/running_submissions.h"

using namespace limpetlever;

namespace {

using world = claim_world<claim_rules>;

/** Takes the first step of each state that is no fault, until `index` is answered. */
void RunUntilAnswered(world& at, int index, int most_steps = 2000) {
  for (int i = 0; i < most_steps && !at.answers().contains(index); ++i) {
    bool is_taken = false;
    for (const world_step& step : at.Steps()) {
      if (!step.is_fault() && step.kind != world_step::step_kind::submit) {
        at.Take(step);
        is_taken = true;
        break;
      }
    }
    if (!is_taken) {
      at.Advance(std::chrono::milliseconds(100));
    }
  }
}

/** Lets everything that was started come to its end: 200 steps or waits of 100 ms. */
void Settle(world& at) {
  RunUntilAnswered(at, -1, 200);
}

}  // namespace

// Guards against a resend through another host running the request again or losing its result.
Test(partition_journal, a_resend_through_another_host_gets_the_stored_result) {
  world at(2, {Pledge("k", "b"), Pledge("k", "b")});
  at.SubmitAt(0, 0);
  RunUntilAnswered(at, 0);
  Settle(at);
  at.SubmitAt(1, 1);
  RunUntilAnswered(at, 1);
  cr_assert(at.answers().at(1).outcome.state == run_state::ran);
  cr_assert(at.answers().at(1).body == "done");
  cr_assert(at.RunsOf("k") == 1);
}

// Guards against another body under a used key being run or answered with the first one's result.
Test(partition_journal, another_body_under_the_same_key_is_refused) {
  world at(2, {Pledge("k", "b"), Pledge("k", "other")});
  at.SubmitAt(0, 0);
  RunUntilAnswered(at, 0);
  Settle(at);
  at.SubmitAt(1, 1);
  RunUntilAnswered(at, 1);
  cr_assert(at.answers().at(1).outcome.state == run_state::not_run);
  cr_assert(at.answers().at(1).outcome.error == errc::key_reused);
}

// Guards against the claim of a dead process being taken for free.
Test(partition_journal, the_claim_of_a_dead_owner_may_have_run) {
  world at(2, {Pledge("k", "b"), Pledge("k", "b")});
  at.SubmitAt(0, 0);
  at.Take({.kind = world_step::step_kind::store_ok, .host = 0, .item = 0});
  at.Take({.kind = world_step::step_kind::store_ok, .host = 0, .item = 0});
  at.Kill(0);
  at.SubmitAt(1, 1);
  RunUntilAnswered(at, 1);
  cr_assert(at.answers().at(1).outcome.state == run_state::may_have_run);
  cr_assert(!at.answers().at(1).claim.empty());
}

// Guards against a dispatch after a pause that outlasted the deadline.
Test(partition_journal, a_claimer_paused_past_the_deadline_does_not_dispatch) {
  world at(1, {Pledge("k", "b")});
  at.SubmitAt(0, 0);
  at.Take({.kind = world_step::step_kind::store_ok, .host = 0, .item = 0});
  at.Take({.kind = world_step::step_kind::store_ok, .host = 0, .item = 0});
  at.Take({.kind = world_step::step_kind::pause, .host = 0, .item = 0});
  at.Take({.kind = world_step::step_kind::deliver_decision, .host = 0, .item = 0});
  cr_assert(at.answers().at(0).outcome.state == run_state::not_run);
  Settle(at);
  cr_assert(at.RunsOf("k") == 0);
}

// Guards against requests that hang or run while the key-value service is down, and against a key
// that stays blocked after it has returned.
Test(partition_journal, an_outage_refuses_and_the_key_is_usable_afterwards) {
  world at(1, {Pledge("k", "b"), Pledge("k", "b")});
  at.set_outage(true);
  at.SubmitAt(0, 0);
  at.Take({.kind = world_step::step_kind::store_unavailable, .host = 0, .item = 0});
  at.Take({.kind = world_step::step_kind::deliver_decision, .host = 0, .item = 0});
  cr_assert(at.answers().at(0).outcome ==
            NotRun(errc::store_unavailable, "the key could not be claimed"));
  at.set_outage(false);
  at.Advance(kMaxBackoff);
  at.SubmitAt(0, 1);
  RunUntilAnswered(at, 1);
  cr_assert(at.answers().at(1).outcome.state == run_state::ran);
}

// Guards against values that reach the store's limit of 1 MB, and against sealed keys being
// forgotten: 200 results of 6 KB exceed one value, and each key is then sent again.
Test(partition_journal, sealed_keys_are_remembered_and_values_stay_under_a_megabyte) {
  partition_journal journal(0, "p", 1);
  std::map<std::string, key_value_entry> store;
  std::size_t largest = 0;
  std::int64_t revision = 0;
  instant now{std::chrono::seconds(1)};
  const wall_time wall{std::chrono::hours(1)};
  const auto serve = [&](partition_journal& at) {
    for (int i = 0; i < 20; ++i) {
      const auto call = at.NextCall(now, wall);
      if (call && call->kind == store_call::call_kind::read) {
        const auto found = store.find(call->key);
        at.OnRead(found == store.end() ? result<key_value_entry>(failure{errc::not_found, ""})
                                       : result<key_value_entry>(found->second),
                  now);
      } else if (call) {
        largest = std::max(largest, call->value.size());
        store[call->key] = {.value = call->value, .revision = ++revision};
        at.OnWrite(revision, now);
      }
      now += kMinWriteInterval;
    }
  };
  constexpr int kKeys = 200;
  for (int i = 0; i < kKeys; ++i) {
    journal.RequestClaim("w/" + std::to_string(i), 7, now, wall);
  }
  serve(journal);
  const auto granted = journal.TakeDecisions();
  cr_assert(granted.size() == kKeys);
  for (const claim_decision& decision : granted) {
    cr_assert(decision.kind == claim_decision::decision_kind::granted);
    journal.RecordOutcome(*decision.record, claim_state::ran, std::string(6000, 'x'));
  }
  serve(journal);
  cr_assert(store.size() > 1, "nothing was sealed");
  cr_assert(largest < 1'000'000, "%zu bytes", largest);
  partition_journal other(0, "q", 2);
  for (int i = 0; i < kKeys; ++i) {
    other.RequestClaim("w/" + std::to_string(i), 7, now, wall);
  }
  serve(other);
  for (const claim_decision& decision : other.TakeDecisions()) {
    cr_assert(decision.kind == claim_decision::decision_kind::current_record);
    cr_assert(decision.record->result.size() == 6000);
  }
}

// Guards against a claim that was never dispatched blocking its key for a day.
Test(partition_journal, a_claim_that_was_not_dispatched_is_released_for_other_hosts) {
  world at(2, {Pledge("k", "b"), Pledge("k", "b")});
  at.SubmitAt(0, 0);
  at.Take({.kind = world_step::step_kind::store_ok, .host = 0, .item = 0});
  at.Take({.kind = world_step::step_kind::store_ok, .host = 0, .item = 0});
  at.Take({.kind = world_step::step_kind::pause, .host = 0, .item = 0});
  at.Take({.kind = world_step::step_kind::deliver_decision, .host = 0, .item = 0});
  Settle(at);
  at.SubmitAt(1, 1);
  RunUntilAnswered(at, 1);
  cr_assert(at.answers().at(1).outcome.state == run_state::ran);
  cr_assert(at.RunsOf("k") == 1);
}

// Guards against a claim whose answer was lost being refused, or claimed a second time.
Test(partition_journal, a_claim_whose_answer_was_lost_is_granted_by_reading_back) {
  world at(1, {Pledge("k", "b")});
  at.SubmitAt(0, 0);
  at.Take({.kind = world_step::step_kind::store_ok, .host = 0, .item = 0});
  at.Take({.kind = world_step::step_kind::answer_lost, .host = 0, .item = 0});
  RunUntilAnswered(at, 0);
  cr_assert(at.answers().at(0).outcome.state == run_state::ran);
  cr_assert(at.RunsOf("k") == 1);
}

// Guards against a lookup answered from an old copy of the journal: the key was claimed by another
// host after this one had read it.
Test(partition_journal, a_lookup_reads_the_store_again) {
  partition_journal journal(0, "p", 1);
  const instant now{std::chrono::seconds(1)};
  const wall_time wall{std::chrono::hours(1)};
  journal.RequestLookup("w/k", now);
  cr_assert(journal.NextCall(now, wall)->key == "claims/0");
  journal.OnRead(failure{errc::not_found, ""}, now);
  cr_assert(!journal.NextCall(now, wall));
  cr_assert(!journal.TakeDecisions().at(0).record);
  claim_journal written;
  written.records["w/k"] = {.key = "w/k", .claim_id = "c", .expiry = wall + kKeyLifetime};
  journal.RequestLookup("w/k", now);
  cr_assert(journal.NextCall(now, wall)->kind == store_call::call_kind::read);
  journal.OnRead(key_value_entry{.value = FormatClaimJournal(written), .revision = 1}, now);
  cr_assert(!journal.NextCall(now, wall));
  cr_assert(journal.TakeDecisions().at(0).record->claim_id == "c");
}

// Guards against a host with a fast clock dropping a key within its lifetime.
Test(claim_journal, a_record_outlives_its_expiry_by_the_clock_margin) {
  claim_journal journal;
  const wall_time expiry{std::chrono::hours(30)};
  journal.records["w/k"] = {.key = "w/k", .claim_id = "c", .expiry = expiry};
  DropExpired(journal, expiry + kClockSkewMargin);
  cr_assert(journal.records.size() == 1);
  DropExpired(journal, expiry + kClockSkewMargin + duration(1));
  cr_assert(journal.records.empty());
}

// Guards against keys and results with bytes that JSON cannot hold being changed in the store.
Test(claim_journal, arbitrary_bytes_survive_the_codec) {
  claim_journal journal{.next_segment = 4,
                        .sealed = {{.number = 3, .expiry = wall_time(duration(9))}},
                        .records = {}};
  const std::string bytes("\0\xff\"\n//", 6);
  journal.records["w/" + bytes] = {.key = "w/" + bytes,
                                   .fingerprint = UINT64_MAX,
                                   .claim_id = "c",
                                   .state = claim_state::ran,
                                   .result = bytes,
                                   .is_result_dropped = false,
                                   .expiry = wall_time(duration(10))};
  const auto read = ParseClaimJournal(FormatClaimJournal(journal), "test");
  cr_assert(read);
  cr_assert(*read == journal);
}

// Guards against a resend that claims again beside the running request.
Test(running_submissions, a_resend_joins_and_another_body_is_refused) {
  running_submissions running;
  cr_assert(running.Begin("w/k", 1) == running_submissions::admission::start);
  cr_assert(running.Begin("w/k", 1) == running_submissions::admission::join);
  cr_assert(running.Begin("w/k", 2) == running_submissions::admission::refuse);
  running.End("w/k");
  cr_assert(running.Begin("w/k", 2) == running_submissions::admission::start);
}
