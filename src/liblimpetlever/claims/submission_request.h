#ifndef LIMPETLEVER_CLAIMS_SUBMISSION_REQUEST_H_
#define LIMPETLEVER_CLAIMS_SUBMISSION_REQUEST_H_

#include <cstdint>
#include <string>

#include "base/time_types.h"

namespace limpetlever {

/** A request that must run at most once, under a key chosen by the caller. */
struct submission_request {
  std::string workload;
  /** From 1 to kMaxKeyBytes bytes. */
  std::string key;
  std::string body;
  /** No attempt is sent at or after this time. */
  instant deadline;

  bool operator==(const submission_request&) const = default;
};

/** Hash of workload and body, by which different requests under the same key are distinguished. */
std::uint64_t SubmissionFingerprint(const submission_request& request);

}  // namespace limpetlever

#endif  // LIMPETLEVER_CLAIMS_SUBMISSION_REQUEST_H_
