#ifndef LIMPETLEVER_REPLICAS_REPLICA_RECORD_H_
#define LIMPETLEVER_REPLICAS_REPLICA_RECORD_H_

#include "base/time_types.h"
#include "replicas/replica.h"
#include "replicas/replica_load.h"

namespace limpetlever {

/** A backend server as this host knows it: its own statement and what was observed of it. */
struct replica_record {
  replica stated;
  replica_load load;
  /** It is slow and bears little until then. */
  instant cold_until;
  /** False once it has left, drains, or its data centre was taken out; it gets nothing new. */
  bool is_usable = true;
  /** Whether its data centre is the one of this host. */
  bool is_near = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_REPLICAS_REPLICA_RECORD_H_
