#ifndef LIMPETLEVER_LIMITS_REFUSED_ATTEMPT_H_
#define LIMPETLEVER_LIMITS_REFUSED_ATTEMPT_H_

#include "base/verdict.h"
#include "routing/attempt_request.h"

namespace limpetlever {

/** An attempt that its owner refuses without sending it to the backend server. */
struct refused_attempt {
  attempt_request attempt;
  verdict outcome;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_REFUSED_ATTEMPT_H_
