#ifndef LIMPETLEVER_LIMITS_WAITING_ATTEMPT_H_
#define LIMPETLEVER_LIMITS_WAITING_ATTEMPT_H_

#include "base/time_types.h"
#include "routing/attempt_request.h"

namespace limpetlever {

/** An attempt that its owner has queued and not yet started. */
struct waiting_attempt {
  attempt_request attempt;
  /** When the attempt was queued. */
  instant since;
  instant deadline;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_WAITING_ATTEMPT_H_
