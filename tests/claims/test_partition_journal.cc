#include <criterion/criterion.h>

#include <string>

#include "claim_model.h"
#include "claims/running_submissions.h"

using namespace limpetlever;

namespace {

using test_model = claim_model<claim_rules>;

/** Takes the first possible step without a fault until request `index` is answered. */
void RunUntilAnswered(test_model& model, int index, int max_steps = 2000) {
  for (int i = 0; i < max_steps && !model.answers().contains(index); ++i) {
    bool is_step_taken = false;
    for (const model_step& step : model.EnabledSteps()) {
      if (!step.is_fault() && step.kind != model_step::step_kind::submit) {
        model.Apply(step);
        is_step_taken = true;
        break;
      }
    }
    if (!is_step_taken) {
      model.Advance(std::chrono::milliseconds(100));
    }
  }
}

/** Completes everything that was started: up to 200 steps or waits of 100 ms. */
void RunToCompletion(test_model& model) {
  RunUntilAnswered(model, -1, 200);
}

}  // namespace

// Guards against a request that is sent again through another host being executed twice, or
// answered without the stored result.
Test(partition_journal, a_resend_through_another_host_gets_the_stored_result) {
  test_model model(2, {MakeRequest("k", "b"), MakeRequest("k", "b")});
  model.SubmitAt(0, 0);
  RunUntilAnswered(model, 0);
  RunToCompletion(model);
  model.SubmitAt(1, 1);
  RunUntilAnswered(model, 1);
  cr_assert(model.answers().at(1).outcome.state == run_state::ran);
  cr_assert(model.answers().at(1).body == "done");
  cr_assert(model.RunCount("k") == 1);
}

// Guards against a request with a used key and another body being executed, or answered with the
// result of the first request.
Test(partition_journal, another_body_under_the_same_key_is_refused) {
  test_model model(2, {MakeRequest("k", "b"), MakeRequest("k", "other")});
  model.SubmitAt(0, 0);
  RunUntilAnswered(model, 0);
  RunToCompletion(model);
  model.SubmitAt(1, 1);
  RunUntilAnswered(model, 1);
  cr_assert(model.answers().at(1).outcome.state == run_state::not_run);
  cr_assert(model.answers().at(1).outcome.error == errc::key_reused);
}

// Guards against the claim of a crashed process being treated as free, though its request may have
// run.
Test(partition_journal, the_claim_of_a_crashed_host_may_have_run) {
  test_model model(2, {MakeRequest("k", "b"), MakeRequest("k", "b")});
  model.SubmitAt(0, 0);
  model.Apply({.kind = model_step::step_kind::store_ok, .host = 0, .item = 0});
  model.Apply({.kind = model_step::step_kind::store_ok, .host = 0, .item = 0});
  model.CrashHost(0);
  model.SubmitAt(1, 1);
  RunUntilAnswered(model, 1);
  cr_assert(model.answers().at(1).outcome.state == run_state::may_have_run);
  cr_assert(!model.answers().at(1).claim.empty());
}

// Guards against a dispatch after the deadline, when the process was paused after its claim was
// granted.
Test(partition_journal, a_host_paused_past_the_deadline_does_not_dispatch) {
  test_model model(1, {MakeRequest("k", "b")});
  model.SubmitAt(0, 0);
  model.Apply({.kind = model_step::step_kind::store_ok, .host = 0, .item = 0});
  model.Apply({.kind = model_step::step_kind::store_ok, .host = 0, .item = 0});
  model.Apply({.kind = model_step::step_kind::pause, .host = 0, .item = 0});
  model.Apply({.kind = model_step::step_kind::deliver_decision, .host = 0, .item = 0});
  cr_assert(model.answers().at(0).outcome.state == run_state::not_run);
  RunToCompletion(model);
  cr_assert(model.RunCount("k") == 0);
}

// Guards against requests that hang or are executed while the key-value service is down, and
// against a key that stays blocked after the service has recovered.
Test(partition_journal, an_outage_refuses_and_the_key_is_usable_afterwards) {
  test_model model(1, {MakeRequest("k", "b"), MakeRequest("k", "b")});
  model.set_outage(true);
  model.SubmitAt(0, 0);
  model.Apply({.kind = model_step::step_kind::store_unavailable, .host = 0, .item = 0});
  model.Apply({.kind = model_step::step_kind::deliver_decision, .host = 0, .item = 0});
  cr_assert(model.answers().at(0).outcome ==
            NotRun(errc::store_unavailable, "the key could not be claimed"));
  model.set_outage(false);
  model.Advance(kMaxBackoff);
  model.SubmitAt(0, 1);
  RunUntilAnswered(model, 1);
  cr_assert(model.answers().at(1).outcome.state == run_state::ran);
}

// Guards against values that reach the store's limit of 1 MB, and against losing the keys in sealed
// segments: 200 results of 6 KB exceed one value, and each key is then claimed again.
Test(partition_journal, sealed_keys_are_kept_and_values_stay_under_a_megabyte) {
  partition_journal journal(0, "p", 1);
  std::map<std::string, key_value_entry> store;
  std::size_t largest = 0;
  std::int64_t revision = 0;
  instant now{std::chrono::seconds(1)};
  const wall_time wall{std::chrono::hours(1)};
  const auto serve = [&](partition_journal& served) {
    for (int i = 0; i < 20; ++i) {
      const auto call = served.NextCall(now, wall);
      if (call && call->kind == store_call::call_kind::read) {
        const auto found = store.find(call->key);
        served.OnRead(found == store.end() ? result<key_value_entry>(failure{errc::not_found, ""})
                                           : result<key_value_entry>(found->second),
                      now);
      } else if (call) {
        largest = std::max(largest, call->value.size());
        store[call->key] = {.value = call->value, .revision = ++revision};
        served.OnWrite(revision, now);
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
  test_model model(2, {MakeRequest("k", "b"), MakeRequest("k", "b")});
  model.SubmitAt(0, 0);
  model.Apply({.kind = model_step::step_kind::store_ok, .host = 0, .item = 0});
  model.Apply({.kind = model_step::step_kind::store_ok, .host = 0, .item = 0});
  model.Apply({.kind = model_step::step_kind::pause, .host = 0, .item = 0});
  model.Apply({.kind = model_step::step_kind::deliver_decision, .host = 0, .item = 0});
  RunToCompletion(model);
  model.SubmitAt(1, 1);
  RunUntilAnswered(model, 1);
  cr_assert(model.answers().at(1).outcome.state == run_state::ran);
  cr_assert(model.RunCount("k") == 1);
}

// Guards against a request being refused, or its key claimed again, when the answer to the write of
// its claim was lost.
Test(partition_journal, a_claim_whose_answer_was_lost_is_granted_by_reading_back) {
  test_model model(1, {MakeRequest("k", "b")});
  model.SubmitAt(0, 0);
  model.Apply({.kind = model_step::step_kind::store_ok, .host = 0, .item = 0});
  model.Apply({.kind = model_step::step_kind::write_answer_lost, .host = 0, .item = 0});
  RunUntilAnswered(model, 0);
  cr_assert(model.answers().at(0).outcome.state == run_state::ran);
  cr_assert(model.RunCount("k") == 1);
}

// Guards against a lookup answered from a cached journal: another host has claimed the key since
// this host read the journal.
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

// Guards against a host with a fast clock deleting a record before its expiry.
Test(claim_journal, a_record_is_kept_for_the_clock_margin_after_its_expiry) {
  claim_journal journal;
  const wall_time expiry{std::chrono::hours(30)};
  journal.records["w/k"] = {.key = "w/k", .claim_id = "c", .expiry = expiry};
  DropExpired(journal, expiry + kClockSkewMargin);
  cr_assert(journal.records.size() == 1);
  DropExpired(journal, expiry + kClockSkewMargin + duration(1));
  cr_assert(journal.records.empty());
}

// Guards against keys and results being altered in the store if they have bytes that JSON cannot
// hold.
Test(claim_journal, arbitrary_bytes_are_preserved_by_the_codec) {
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

// Guards against a resent request claiming its key again while the first submission runs.
Test(running_submissions, a_resend_joins_and_another_body_is_refused) {
  running_submissions running;
  cr_assert(running.Begin("w/k", 1) == running_submissions::admission::start);
  cr_assert(running.Begin("w/k", 1) == running_submissions::admission::join);
  cr_assert(running.Begin("w/k", 2) == running_submissions::admission::refuse);
  running.End("w/k");
  cr_assert(running.Begin("w/k", 2) == running_submissions::admission::start);
}
