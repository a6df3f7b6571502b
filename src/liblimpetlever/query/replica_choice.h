#ifndef LIMPETLEVER_QUERY_REPLICA_CHOICE_H_
#define LIMPETLEVER_QUERY_REPLICA_CHOICE_H_

#include <memory>
#include <string>
#include <vector>

#include "base/time_types.h"

namespace limpetlever {

class replica_registry;
class random_source;
struct replica_record;

/** Route-specific parameters of the choice between backend servers. */
struct replica_choice_options {
  /** Median latency of one attempt on the route. */
  duration typical_latency{};
  /** A server with an attempt in flight for longer than this is considered stalled. */
  duration stall_limit{};
  /**
   * Added to the expected latency of a server in another data centre, since traffic between data
   * centres has a cost.
   */
  duration remote_penalty{};
};

/**
 * Expected latency of an attempt at `record`, including penalties for a server that is stalled,
 * unreachable or in another data centre.
 */
duration ExpectedLatency(const replica_record& record,
                         const replica_choice_options& options,
                         instant now);

/**
 * The server of `service` with the lowest expected latency that is not in `excluded` and may be
 * sent a request now (CheckAdmission); nullptr if there is none. Servers with almost equal
 * latencies are chosen between at random.
 */
std::shared_ptr<replica_record> ChooseReplica(const replica_registry& replicas,
                                              const std::string& service,
                                              const std::vector<const replica_record*>& excluded,
                                              const replica_choice_options& options,
                                              random_source& random,
                                              instant now);

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_REPLICA_CHOICE_H_
