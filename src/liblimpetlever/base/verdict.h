#ifndef LIMPETLEVER_BASE_VERDICT_H_
#define LIMPETLEVER_BASE_VERDICT_H_

#include <string>
#include <system_error>

namespace limpetlever {

/** Whether a request may have run on a backend server. */
enum class run_state { not_run = 0, may_have_run = 1, ran = 2 };

/**
 * Outcome of a request or of one attempt: whether it may have run on a backend server, and the
 * error if it failed.
 */
struct verdict {
  run_state state = run_state::not_run;
  std::error_code error;
  std::string detail;

  bool operator==(const verdict&) const = default;
};

/** "not_run", "may_have_run" or "ran". */
const char* ToString(run_state state);

/** The request ran and was answered. */
verdict Ran();

/** The request was refused and did not run on any backend server. */
verdict NotRun(std::error_code error, std::string detail = {});

/** The outcome is unknown: the request was sent and no answer arrived. */
verdict MayHaveRun(std::error_code error, std::string detail = {});

}  // namespace limpetlever

#endif  // LIMPETLEVER_BASE_VERDICT_H_
