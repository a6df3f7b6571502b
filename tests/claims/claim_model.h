#ifndef LIMPETLEVER_TESTS_CLAIMS_CLAIM_MODEL_H_
#define LIMPETLEVER_TESTS_CLAIMS_CLAIM_MODEL_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/errc.h"
#include "claims/partition_journal.h"
#include "claims/partition_journal_impl.h"
#include "claims/submission.h"

namespace limpetlever {

/** A step of the model: an event at one host, at the store or at a backend server. */
struct model_step {
  enum class step_kind {
    submit,
    store_ok,
    store_unavailable,
    write_answer_lost,
    write_delayed,
    apply_delayed_write,
    deliver_decision,
    attempt_ran,
    attempt_refused,
    attempt_lost_after_run,
    attempt_lost_before_run,
    attempt_answers_late,
    deliver_late_answer,
    pause,
    run_timers,
    crash
  };
  step_kind kind = step_kind::store_ok;
  int host = 0;
  /** Index of the decision, attempt, late answer or delayed write; else 0. */
  int item = 0;

  /** Whether the step is a fault: a failure, a delay, a crash or a pause. */
  bool is_fault() const {
    return kind != step_kind::submit && kind != step_kind::store_ok &&
           kind != step_kind::deliver_decision && kind != step_kind::attempt_ran &&
           kind != step_kind::apply_delayed_write && kind != step_kind::deliver_late_answer &&
           kind != step_kind::run_timers;
  }
};

/**
 * Model of a key-value service, of backend servers that count executions, and of hosts that run
 * partition_journal and submission for one partition. Everything that happens between two decisions
 * is a step of the model, so a search over steps covers pauses, races and late writes. Copyable,
 * for the exhaustive search.
 */
template <typename Rules>
class claim_model {
 public:
  claim_model(int hosts, std::vector<submission_request> requests)
      : requests_(std::move(requests)) {
    for (int i = 0; i < hosts; ++i) {
      hosts_.push_back(MakeHost(i));
    }
  }

  /** Steps that are possible now. If there is none, time first advances to the next timer. */
  std::vector<model_step> EnabledSteps() {
    std::vector<model_step> steps = EnabledStepsNow();
    for (int tries = 0; steps.empty() && tries < 40 && AdvanceToTimer(); ++tries) {
      steps = EnabledStepsNow();
    }
    return steps;
  }

  void Apply(const model_step& step) {
    using kind = model_step::step_kind;
    host& h = hosts_[step.host];
    switch (step.kind) {
      case kind::submit:
        Submit(h, static_cast<int>(next_request_++));
        break;
      case kind::store_ok:
        if (h.call->kind == store_call::call_kind::read) {
          h.journal.OnRead(Read(h.call->key), now_);
        } else {
          h.journal.OnWrite(Write(*h.call), now_);
        }
        h.call.reset();
        break;
      case kind::store_unavailable:
        FailCall(h, {errc::store_unavailable, ""});
        break;
      case kind::write_answer_lost:
        (void)Write(*h.call);
        FailCall(h, {errc::store_outcome_unknown, ""});
        break;
      case kind::write_delayed:
        delayed_writes_.push_back(*h.call);
        FailCall(h, {errc::store_outcome_unknown, ""});
        break;
      case kind::apply_delayed_write:
        (void)Write(delayed_writes_[step.item]);
        delayed_writes_.erase(delayed_writes_.begin() + step.item);
        break;
      case kind::deliver_decision: {
        const claim_decision decision = h.decisions[step.item];
        h.decisions.erase(h.decisions.begin() + step.item);
        const int index = h.request_by_ticket.at(decision.ticket);
        Execute(h, index, h.running.at(index).OnDecision(decision, now_, wall()));
        break;
      }
      case kind::attempt_ran:
        FinishAttempt(h, step.item, true, Ran());
        break;
      case kind::attempt_refused:
        FinishAttempt(h, step.item, false, NotRun(errc::shed));
        break;
      case kind::attempt_lost_after_run:
        FinishAttempt(h, step.item, true, MayHaveRun(errc::connection_lost));
        break;
      case kind::attempt_lost_before_run:
        FinishAttempt(h, step.item, false, MayHaveRun(errc::connection_lost));
        break;
      case kind::attempt_answers_late:
        // The server executes the request, but its answer may arrive after the deadline.
        CountRun(h.attempts[step.item].first);
        h.late_answers.push_back(h.attempts[step.item]);
        h.attempts.erase(h.attempts.begin() + step.item);
        break;
      case kind::deliver_late_answer: {
        const auto [index, ordinal] = h.late_answers[step.item];
        h.late_answers.erase(h.late_answers.begin() + step.item);
        Execute(h, index,
                h.running.at(index).OnAttemptOutcome(ordinal, Ran(), "done", now_, wall()));
        break;
      }
      case kind::pause:
        // All hosts are paused for longer than the time limit of any request.
        now_ += std::chrono::seconds(30);
        break;
      case kind::run_timers:
        RunTimers();
        break;
      case kind::crash:
        Crash(step.host);
        break;
    }
    AdvanceJournals();
  }

  /** Describes a double execution, or a wrong outcome in an answer to a caller; "" if none. */
  std::string FindViolation() const {
    for (const auto& [key, count] : runs_by_key_) {
      if (count > 1) {
        return key + " ran " + std::to_string(count) + " times";
      }
    }
    for (const auto& [index, answer] : answers_) {
      if (answer.outcome.state == run_state::not_run && runs_by_request_.contains(index)) {
        return "request " + std::to_string(index) + " was answered \"not run\" and ran";
      }
      if (answer.outcome.state == run_state::ran && !runs_by_key_.contains(requests_[index].key)) {
        return "request " + std::to_string(index) + " was answered \"ran\" and did not run";
      }
    }
    return {};
  }

  const std::map<int, submission_answer>& answers() const { return answers_; }
  int RunCount(const std::string& key) const {
    const auto found = runs_by_key_.find(key);
    return found == runs_by_key_.end() ? 0 : found->second;
  }
  std::size_t segments() const { return store_.empty() ? 0 : store_.size() - 1; }
  std::size_t largest_value() const { return largest_value_; }
  bool AllSubmitted() const { return next_request_ == requests_.size(); }
  void Advance(duration time) {
    now_ += time;
    RunTimers();
    AdvanceJournals();
  }
  void SubmitAt(int h, int index) {
    Submit(hosts_[h], index);
    AdvanceJournals();
  }
  void set_outage(bool outage) { is_store_down_ = outage; }
  void CrashHost(int h) {
    Crash(h);
    AdvanceJournals();
  }
  instant now() const { return now_; }

 private:
  struct host {
    basic_partition_journal<Rules> journal;
    std::optional<store_call> call;
    std::vector<claim_decision> decisions;
    std::map<int, submission> running;
    std::map<std::uint64_t, int> request_by_ticket;
    std::map<int, std::uint64_t> ticket_by_request;
    std::vector<std::pair<int, int>> attempts;
    std::vector<std::pair<int, int>> late_answers;
  };

  host MakeHost(int index) {
    ++process_count_;
    return {.journal = basic_partition_journal<Rules>(0, "p" + std::to_string(process_count_),
                                                      static_cast<std::uint64_t>(index)),
            .call = {},
            .decisions = {},
            .running = {},
            .request_by_ticket = {},
            .ticket_by_request = {},
            .attempts = {},
            .late_answers = {}};
  }

  std::vector<model_step> EnabledStepsNow() const {
    using kind = model_step::step_kind;
    std::vector<model_step> steps;
    for (int h = 0; h < static_cast<int>(hosts_.size()); ++h) {
      const host& at = hosts_[h];
      const auto add = [&](kind what, int item) {
        steps.push_back({.kind = what, .host = h, .item = item});
      };
      if (next_request_ < requests_.size()) {
        add(kind::submit, 0);
      }
      if (at.call) {
        if (!is_store_down_) {
          add(kind::store_ok, 0);
        }
        add(kind::store_unavailable, 0);
        if (at.call->kind == store_call::call_kind::write && !is_store_down_) {
          add(kind::write_answer_lost, 0);
          add(kind::write_delayed, 0);
        }
      }
      for (int i = 0; i < static_cast<int>(at.decisions.size()); ++i) {
        add(kind::deliver_decision, i);
      }
      for (int i = 0; i < static_cast<int>(at.attempts.size()); ++i) {
        add(kind::attempt_ran, i);
        add(kind::attempt_refused, i);
        add(kind::attempt_lost_after_run, i);
        add(kind::attempt_lost_before_run, i);
        add(kind::attempt_answers_late, i);
      }
      for (int i = 0; i < static_cast<int>(at.late_answers.size()); ++i) {
        add(kind::deliver_late_answer, i);
      }
      if (!at.running.empty()) {
        add(kind::crash, 0);
      }
    }
    for (int i = 0; i < static_cast<int>(delayed_writes_.size()); ++i) {
      steps.push_back({.kind = kind::apply_delayed_write, .host = 0, .item = i});
    }
    if (IsTimerDue()) {
      steps.push_back({.kind = kind::run_timers, .host = 0, .item = 0});
    }
    const bool only_crashes = std::all_of(steps.begin(), steps.end(), [](const model_step& step) {
      return step.kind == kind::crash;
    });
    if (only_crashes) {
      return {};
    }
    steps.push_back({.kind = kind::pause, .host = 0, .item = 0});
    return steps;
  }

  bool AdvanceToTimer() {
    std::optional<instant> next;
    for (const host& h : hosts_) {
      if (const auto timer = h.journal.NextTimer(); timer && (!next || *timer < *next)) {
        next = timer;
      }
    }
    if (!next) {
      return false;
    }
    now_ = std::max(now_, *next);
    RunTimers();
    AdvanceJournals();
    return true;
  }

  bool IsTimerDue() const {
    return std::any_of(hosts_.begin(), hosts_.end(), [&](const host& h) {
      return std::any_of(h.running.begin(), h.running.end(), [&](const auto& item) {
        return item.second.NextTimer() && *item.second.NextTimer() <= now_;
      });
    });
  }

  void RunTimers() {
    for (host& h : hosts_) {
      std::vector<int> due;
      for (auto& [index, item] : h.running) {
        if (item.NextTimer() && *item.NextTimer() <= now_) {
          due.push_back(index);
        }
      }
      for (const int index : due) {
        Execute(h, index, h.running.at(index).OnTimer(now_));
      }
    }
  }

  void AdvanceJournals() {
    for (host& h : hosts_) {
      for (int i = 0; i < 8 && !h.call; ++i) {
        h.call = h.journal.NextCall(now_, wall());
        if (!h.call && h.journal.NextTimer() != now_) {
          break;
        }
      }
      for (claim_decision& decision : h.journal.TakeDecisions()) {
        h.decisions.push_back(std::move(decision));
      }
    }
  }

  void Submit(host& h, int index) {
    submission_request request = requests_[index];
    request.deadline = now_ + std::chrono::seconds(10);
    const auto [item, is_new] =
        h.running.emplace(index, submission(request, {"replica-a", "replica-b"}));
    Execute(h, index, item->second.Start());
  }

  void Execute(host& h, int index, const std::vector<submission_action>& actions) {
    using kind = submission_action::action_kind;
    for (const submission_action& action : actions) {
      const submission_request& request = requests_[index];
      switch (action.kind) {
        case kind::claim: {
          const std::uint64_t ticket =
              h.journal.RequestClaim(JournalKey(request.workload, request.key),
                                     SubmissionFingerprint(request), now_, wall());
          h.request_by_ticket[ticket] = index;
          h.ticket_by_request[index] = ticket;
          break;
        }
        case kind::abandon:
          h.journal.Abandon(h.ticket_by_request.at(index));
          break;
        case kind::dispatch:
          h.attempts.emplace_back(index, action.ordinal);
          break;
        case kind::record:
          h.journal.RecordOutcome(action.record, action.state, action.body);
          break;
        case kind::answer:
          answers_.emplace(index, *h.running.at(index).answer());
          break;
      }
    }
  }

  void CountRun(int index) {
    ++runs_by_key_[requests_[index].key];
    ++runs_by_request_[index];
  }

  void FinishAttempt(host& h, int item, bool runs, const verdict& outcome) {
    const auto [index, ordinal] = h.attempts[item];
    h.attempts.erase(h.attempts.begin() + item);
    if (runs) {
      CountRun(index);
    }
    Execute(h, index, h.running.at(index).OnAttemptOutcome(ordinal, outcome, "done", now_, wall()));
  }

  void Crash(int index) {
    // Attempts that were sent are still executed; writes that were sent may still arrive.
    host& h = hosts_[index];
    for (const auto& [request, ordinal] : h.attempts) {
      CountRun(request);
    }
    if (h.call && h.call->kind == store_call::call_kind::write) {
      delayed_writes_.push_back(*h.call);
    }
    // Replaces the process by a new one. Callers of the crashed process get no answer.
    h.journal.~basic_partition_journal<Rules>();
    host restarted = MakeHost(index);
    new (&h.journal) basic_partition_journal<Rules>(restarted.journal);
    h.call.reset();
    h.decisions.clear();
    h.running.clear();
    h.request_by_ticket.clear();
    h.ticket_by_request.clear();
    h.attempts.clear();
    h.late_answers.clear();
  }

  void FailCall(host& h, const failure& reason) {
    const bool is_read = h.call->kind == store_call::call_kind::read;
    h.call.reset();
    if (is_read) {
      h.journal.OnRead(reason, now_);
    } else {
      h.journal.OnWrite(reason, now_);
    }
  }

  result<key_value_entry> Read(const std::string& key) const {
    const auto found = store_.find(key);
    if (found == store_.end()) {
      return failure{errc::not_found, ""};
    }
    return found->second;
  }

  result<std::int64_t> Write(const store_call& call) {
    const auto found = store_.find(call.key);
    const std::int64_t current = found == store_.end() ? 0 : found->second.revision;
    if (current != call.revision) {
      return failure{errc::store_conflict, ""};
    }
    largest_value_ = std::max(largest_value_, call.value.size());
    store_[call.key] = {.value = call.value, .revision = ++last_revision_};
    return last_revision_;
  }

  wall_time wall() const { return wall_time(now_.time_since_epoch() + std::chrono::hours(1)); }

  std::vector<submission_request> requests_;
  std::size_t next_request_ = 0;
  std::vector<host> hosts_;
  int process_count_ = 0;
  std::map<std::string, key_value_entry> store_;
  std::int64_t last_revision_ = 0;
  std::size_t largest_value_ = 0;
  std::vector<store_call> delayed_writes_;
  bool is_store_down_ = false;
  instant now_{std::chrono::seconds(1)};
  std::map<std::string, int> runs_by_key_;
  std::map<int, int> runs_by_request_;
  std::map<int, submission_answer> answers_;
};

/** A request with this key and body. */
inline submission_request MakeRequest(const std::string& key, const std::string& body) {
  return {.workload = "pledges", .key = key, .body = body, .deadline = {}};
}

}  // namespace limpetlever

#endif  // LIMPETLEVER_TESTS_CLAIMS_CLAIM_MODEL_H_
