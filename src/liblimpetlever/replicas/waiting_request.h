#ifndef LIMPETLEVER_REPLICAS_WAITING_REQUEST_H_
#define LIMPETLEVER_REPLICAS_WAITING_REQUEST_H_

#include "base/time_types.h"

namespace limpetlever {

/** A request that waits for a connection to the backend server that was chosen for it. */
struct waiting_request {
  /** When the server was chosen. */
  instant chosen;
  /** Whether the server was cold then, and the request counts as one of this host's part. */
  bool is_within_warm_up_limit = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_REPLICAS_WAITING_REQUEST_H_
