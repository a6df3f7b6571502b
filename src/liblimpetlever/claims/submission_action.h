#ifndef LIMPETLEVER_CLAIMS_SUBMISSION_ACTION_H_
#define LIMPETLEVER_CLAIMS_SUBMISSION_ACTION_H_

#include <string>

#include "claims/claim_record.h"

namespace limpetlever {

/** Action that the user of a submission must carry out. */
struct submission_action {
  enum class action_kind {
    /** Call partition_journal::RequestClaim and pass the decision to OnDecision. */
    claim,
    /** Call partition_journal::Abandon with the ticket of that claim. */
    abandon,
    /** Send attempt `ordinal` to `replica` and pass its outcome to OnAttemptOutcome. */
    dispatch,
    /** Call partition_journal::RecordOutcome with `record`, `state` and `body`. */
    record,
    /** Send submission::answer() to the caller. */
    answer
  };
  action_kind kind = action_kind::claim;
  std::string replica;
  int ordinal = 0;
  /** The claim, for `dispatch` and `record`. */
  claim_record record;
  claim_state state = claim_state::claimed;
  std::string body;

  bool operator==(const submission_action&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CLAIMS_SUBMISSION_ACTION_H_
