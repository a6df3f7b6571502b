#include "claims/submission.h"

#include <utility>

#include "base/errc.h"
#include "base/hash.h"

namespace limpetlever {

std::uint64_t SubmissionFingerprint(const submission_request& request) {
  return CombineHashes(Hash(request.workload), Hash(request.body));
}

submission::submission(submission_request request, std::vector<std::string> replicas)
    : request_(std::move(request)),
      replicas_(std::move(replicas)),
      last_not_run_outcome_(NotRun(errc::no_replica)) {}

std::vector<submission_action> submission::Start() {
  std::vector<submission_action> actions;
  if (request_.key.empty() || request_.key.size() > kMaxKeyBytes) {
    state_ = submission_state::done;
    SetAnswer({.outcome = NotRun(errc::invalid_input, "the key must have 1 to 256 bytes"),
               .body = {},
               .claim = {}},
              actions);
    return actions;
  }
  state_ = submission_state::claiming;
  actions.push_back({.kind = submission_action::action_kind::claim});
  return actions;
}

std::vector<submission_action> submission::OnDecision(const claim_decision& decision,
                                                      instant now,
                                                      wall_time wall) {
  std::vector<submission_action> actions;
  const bool is_granted = decision.kind == claim_decision::decision_kind::granted;
  if (is_granted) {
    claim_ = *decision.record;
  }
  if (state_ != submission_state::claiming) {
    // The deadline passed before the decision came, so no attempt was sent under this claim.
    if (is_granted) {
      RecordState(claim_state::released, {}, actions);
    }
    return actions;
  }
  if (is_granted) {
    DispatchNextAttempt(now, wall, actions);
    return actions;
  }
  state_ = submission_state::done;
  if (decision.kind == claim_decision::decision_kind::unavailable || !decision.record) {
    SetAnswer({.outcome = NotRun(errc::store_unavailable, "the key could not be claimed"),
               .body = {},
               .claim = {}},
              actions);
  } else {
    SetAnswer(AnswerFromRecord(*decision.record, SubmissionFingerprint(request_)), actions);
  }
  return actions;
}

void submission::DispatchNextAttempt(instant now,
                                     wall_time wall,
                                     std::vector<submission_action>& actions) {
  // The process may have been paused since the claim was granted. Other hosts do not take the key
  // before the claim has expired, so a dispatch is safe while both clocks show time left.
  const bool is_late = now >= request_.deadline || wall + kClockSkewMargin >= claim_.expiry;
  if (is_late) {
    last_not_run_outcome_ = NotRun(errc::deadline_exceeded, last_not_run_outcome_.detail);
  }
  if (is_late || static_cast<std::size_t>(next_ordinal_) == replicas_.size()) {
    state_ = submission_state::done;
    RecordState(claim_state::released, {}, actions);
    SetAnswer({.outcome = last_not_run_outcome_, .body = {}, .claim = claim_.claim_id}, actions);
    return;
  }
  state_ = submission_state::dispatched;
  actions.push_back({.kind = submission_action::action_kind::dispatch,
                     .replica = replicas_[next_ordinal_],
                     .ordinal = next_ordinal_,
                     .record = claim_});
  ++next_ordinal_;
}

std::vector<submission_action> submission::OnAttemptOutcome(int ordinal,
                                                            const verdict& outcome,
                                                            const std::string& body,
                                                            instant now,
                                                            wall_time wall) {
  std::vector<submission_action> actions;
  if (state_ != submission_state::dispatched || ordinal != next_ordinal_ - 1) {
    return actions;
  }
  switch (outcome.state) {
    case run_state::ran:
      state_ = submission_state::done;
      RecordState(claim_state::ran, body, actions);
      SetAnswer({.outcome = outcome, .body = body, .claim = claim_.claim_id}, actions);
      break;
    case run_state::may_have_run:
      state_ = submission_state::done;
      if (!answer_) {
        RecordState(claim_state::may_have_run, {}, actions);
      }
      SetAnswer({.outcome = outcome, .body = {}, .claim = claim_.claim_id}, actions);
      break;
    case run_state::not_run:
      last_not_run_outcome_ = outcome;
      if (answer_) {
        state_ = submission_state::done;
        RecordState(claim_state::released, {}, actions);
      } else {
        DispatchNextAttempt(now, wall, actions);
      }
      break;
  }
  return actions;
}

std::vector<submission_action> submission::OnTimer(instant now) {
  std::vector<submission_action> actions;
  if (answer_ || now < request_.deadline) {
    return actions;
  }
  if (state_ == submission_state::dispatched) {
    // The outcome of the attempt replaces this record when it arrives.
    RecordState(claim_state::may_have_run, {}, actions);
    SetAnswer(
        {.outcome = MayHaveRun(errc::deadline_exceeded), .body = {}, .claim = claim_.claim_id},
        actions);
    return actions;
  }
  if (state_ == submission_state::claiming) {
    actions.push_back({.kind = submission_action::action_kind::abandon});
  }
  state_ = submission_state::done;
  SetAnswer({.outcome = NotRun(errc::deadline_exceeded, "the key was not claimed in time"),
             .body = {},
             .claim = {}},
            actions);
  return actions;
}

std::optional<instant> submission::NextTimer() const {
  return answer_ ? std::nullopt : std::optional(request_.deadline);
}

void submission::SetAnswer(submission_answer answer, std::vector<submission_action>& actions) {
  if (!answer_) {
    answer_ = std::move(answer);
    actions.push_back({.kind = submission_action::action_kind::answer});
  }
}

void submission::RecordState(claim_state state,
                             const std::string& body,
                             std::vector<submission_action>& actions) {
  actions.push_back({.kind = submission_action::action_kind::record,
                     .replica = {},
                     .ordinal = 0,
                     .record = claim_,
                     .state = state,
                     .body = body});
}

}  // namespace limpetlever
