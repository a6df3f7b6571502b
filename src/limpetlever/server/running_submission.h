#ifndef LIMPETLEVER_SERVER_RUNNING_SUBMISSION_H_
#define LIMPETLEVER_SERVER_RUNNING_SUBMISSION_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <utility>

#include "claims/submission.h"

namespace limpetlever {

/** A submission in progress; the threads that serve its callers wait on `changed` for its end. */
struct running_submission {
  running_submission(submission_request request, std::vector<std::string> replicas)
      : plan(std::move(request), std::move(replicas)) {}

  std::mutex mutex;
  std::condition_variable changed;
  submission plan;
  /** Identifies the pending claim request, so that it can be abandoned. */
  std::uint64_t ticket = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_RUNNING_SUBMISSION_H_
