#include "query/attempt_failure.h"

namespace limpetlever {

const char* ToString(attempt_failure failure) {
  switch (failure) {
    case attempt_failure::not_connected:
      return "not_connected";
    case attempt_failure::excluded:
      return "excluded";
    case attempt_failure::connection_lost:
      return "connection_lost";
    case attempt_failure::malformed_answer:
      return "malformed_answer";
  }
  return "unknown";
}

bool MayHaveRun(attempt_failure failure) {
  return failure == attempt_failure::connection_lost ||
         failure == attempt_failure::malformed_answer;
}

}  // namespace limpetlever
