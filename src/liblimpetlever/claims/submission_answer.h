#ifndef LIMPETLEVER_CLAIMS_SUBMISSION_ANSWER_H_
#define LIMPETLEVER_CLAIMS_SUBMISSION_ANSWER_H_

#include <cstdint>
#include <string>

#include "base/verdict.h"
#include "claims/claim_record.h"

namespace limpetlever {

/** Answer to the caller of a submission. */
struct submission_answer {
  verdict outcome;
  /** The backend server's answer; only if `outcome` is ran. */
  std::string body;
  /** Id of the claim, by which an operator can look into an uncertain outcome; may be empty. */
  std::string claim;

  bool operator==(const submission_answer&) const = default;
};

/**
 * The answer to a request with this fingerprint whose key is taken: `record` belongs to another
 * claim and was not released.
 */
submission_answer AnswerFromRecord(const claim_record& record, std::uint64_t fingerprint);

}  // namespace limpetlever

#endif  // LIMPETLEVER_CLAIMS_SUBMISSION_ANSWER_H_
