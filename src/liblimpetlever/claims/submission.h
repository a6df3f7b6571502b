#ifndef LIMPETLEVER_CLAIMS_SUBMISSION_H_
#define LIMPETLEVER_CLAIMS_SUBMISSION_H_

#include <optional>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "base/verdict.h"
#include "claims/claim_decision.h"
#include "claims/submission_action.h"
#include "claims/submission_answer.h"
#include "claims/submission_request.h"

namespace limpetlever {

/**
 * State machine of one submission, a request that must run at most once. It claims the submission's
 * key, sends one attempt at a time, sends to another replica only after the outcome "not run", and
 * records the final outcome. Makes no calls itself: its user carries out the returned actions in
 * order. `now` is the monotonic clock and `wall` the wall clock. Not thread-safe.
 */
class submission {
 public:
  /** At most one attempt is sent to each replica, in the order of `replicas`. */
  submission(submission_request request, std::vector<std::string> replicas);

  /** Requests the claim. A request with an invalid key is answered at once. */
  std::vector<submission_action> Start();

  /** Handles the decision on the claim that Start requested. */
  std::vector<submission_action> OnDecision(const claim_decision& decision,
                                            instant now,
                                            wall_time wall);

  /**
   * Handles the outcome of attempt `ordinal`. Call it also after the answer to the caller: an
   * outcome after the deadline replaces the "may have run" that OnTimer recorded.
   */
  std::vector<submission_action> OnAttemptOutcome(int ordinal,
                                                  const verdict& outcome,
                                                  const std::string& body,
                                                  instant now,
                                                  wall_time wall);

  /**
   * Call it at the time that NextTimer() returned. If the deadline has passed, answers the caller,
   * and records "may have run" if an attempt is in flight.
   */
  std::vector<submission_action> OnTimer(instant now);

  /** The deadline; nullopt once there is an answer. */
  std::optional<instant> NextTimer() const;

  /** The answer to the caller; does not change once it is set. */
  const std::optional<submission_answer>& answer() const { return answer_; }

  /** Whether the caller was answered and no attempt is in flight. */
  bool IsFinished() const { return answer_ && state_ == submission_state::done; }

  const submission_request& request() const { return request_; }

 private:
  enum class submission_state { idle, claiming, dispatched, done };

  void DispatchNextAttempt(instant now, wall_time wall, std::vector<submission_action>& actions);
  void SetAnswer(submission_answer answer, std::vector<submission_action>& actions);
  void RecordState(claim_state state,
                   const std::string& body,
                   std::vector<submission_action>& actions);

  const submission_request request_;
  const std::vector<std::string> replicas_;
  submission_state state_ = submission_state::idle;
  claim_record claim_;
  int next_ordinal_ = 0;
  verdict last_not_run_outcome_;
  std::optional<submission_answer> answer_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CLAIMS_SUBMISSION_H_
