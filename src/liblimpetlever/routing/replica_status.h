#ifndef LIMPETLEVER_ROUTING_REPLICA_STATUS_H_
#define LIMPETLEVER_ROUTING_REPLICA_STATUS_H_

#include <string>
#include <vector>

#include "base/time_types.h"
#include "routing/held_version.h"

namespace limpetlever {

/** Status of a replica that its owner publishes to all hosts. */
struct replica_status {
  std::string address;
  std::string instance_id;
  /** False while the replica does not answer or is draining; it then gets no new work. */
  bool usable = false;
  /** The owner's current concurrency limit. */
  int limit = 0;
  /** Whether the limit is still well below that of the table; the replica then gets no hedges. */
  bool cold = true;
  std::vector<held_version> versions;
  /**
   * Latency when the replica was last warm, used by its next owner and by owners of similar
   * replicas; zero if unknown.
   */
  duration reference_latency{};

  bool operator==(const replica_status&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_REPLICA_STATUS_H_
