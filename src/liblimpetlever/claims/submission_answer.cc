#include "claims/submission_answer.h"

#include "base/errc.h"

namespace limpetlever {

submission_answer AnswerFromRecord(const claim_record& record, std::uint64_t fingerprint) {
  if (record.fingerprint != fingerprint) {
    return {.outcome = NotRun(errc::key_reused, "the key was used with another body"),
            .body = {},
            .claim = record.claim_id};
  }
  if (record.state == claim_state::ran) {
    verdict outcome = Ran();
    if (record.is_result_dropped) {
      outcome.error = errc::too_large;
      outcome.detail = "the request ran, but its result was too large to be stored";
    }
    return {.outcome = outcome, .body = record.result, .claim = record.claim_id};
  }
  if (record.state == claim_state::released) {
    return {.outcome = NotRun(errc::claim_unresolved, "the claim was released"),
            .body = {},
            .claim = record.claim_id};
  }
  return {.outcome = MayHaveRun(errc::claim_unresolved,
                                std::string("the state of the key is ") + ToString(record.state)),
          .body = {},
          .claim = record.claim_id};
}

}  // namespace limpetlever
