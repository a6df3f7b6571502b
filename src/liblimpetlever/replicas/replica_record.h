#ifndef LIMPETLEVER_REPLICAS_REPLICA_RECORD_H_
#define LIMPETLEVER_REPLICAS_REPLICA_RECORD_H_

#include <optional>

#include "base/time_types.h"
#include "limits/request_limit.h"
#include "limits/request_pause.h"
#include "limits/warm_up_limit.h"
#include "replicas/replica.h"
#include "replicas/replica_load.h"

namespace limpetlever {

/**
 * What this host knows of one process of a backend server: what it advertises and what was
 * observed. CheckAdmission decides whether it may be sent a request.
 */
struct replica_record {
  replica registered;
  replica_load load;
  /** The limit that the server names while it is in need. */
  request_limit limit;
  /** The pause that the server wants from this host. */
  request_pause pause;
  /** The limit that the configuration names for the time in which the server is cold. */
  warm_up_limit warm_up;
  /** End of the warm-up, during which the server is slower and has less capacity. */
  instant cold_until;
  /** False once it is no longer registered. */
  bool is_registered = true;
  bool is_data_centre_out = false;
  /** Whether another server has answered at its address. */
  bool is_misdirected = false;
  /** Whether another process has registered under its id. */
  bool is_replaced = false;
  /** Whether an answer of this process has said that it is leaving. */
  bool is_leaving = false;
  /** Since when LastingExclusion has a reason; see UpdateExclusion. */
  std::optional<instant> excluded_since;
  /** When it last refused a request of this host, and when it last answered one. */
  instant refused_at;
  instant answered_at;
  /** Whether it is in the data centre of this host. */
  bool is_local = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_REPLICAS_REPLICA_RECORD_H_
