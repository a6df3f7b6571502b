#include "base/verdict.h"

#include <utility>

namespace limpetlever {

const char* ToString(run_state state) {
  switch (state) {
    case run_state::not_run:
      return "not_run";
    case run_state::may_have_run:
      return "may_have_run";
    case run_state::ran:
      return "ran";
  }
  return "may_have_run";
}

verdict Ran() {
  return {.state = run_state::ran, .error = {}, .detail = {}};
}

verdict NotRun(std::error_code error, std::string detail) {
  return {.state = run_state::not_run, .error = error, .detail = std::move(detail)};
}

verdict MayHaveRun(std::error_code error, std::string detail) {
  return {.state = run_state::may_have_run, .error = error, .detail = std::move(detail)};
}

}  // namespace limpetlever
