#ifndef LIMPETLEVER_REPLICAS_REPLICA_RECORD_H_
#define LIMPETLEVER_REPLICAS_REPLICA_RECORD_H_

#include "base/time_types.h"
#include "limits/request_limit.h"
#include "replicas/replica.h"
#include "replicas/replica_load.h"

namespace limpetlever {

/** What this host knows of a backend server: what it advertises and what was observed. */
struct replica_record {
  replica registered;
  replica_load load;
  /** The limit that the server names while it is in need. */
  request_limit limit;
  /** End of the warm-up, during which the server is slower and has less capacity. */
  instant cold_until;
  /** False if it has left or is draining, or if its data centre is taken out: no new attempts. */
  bool is_usable = true;
  /** Whether it is in the data centre of this host. */
  bool is_local = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_REPLICAS_REPLICA_RECORD_H_
