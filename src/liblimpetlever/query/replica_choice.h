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

/** What a choice between backend servers depends on besides the servers. */
struct choice_terms {
  /** Usual latency of the route. */
  duration usual{};
  /** An attempt in flight for longer than this is a sign that its server has stopped. */
  duration stall_limit{};
  /** What a near server may be slower before a far one is used: bytes between data centres cost. */
  duration far_penalty{};
};

/** How long an attempt at `record` is expected to take, with what speaks against it added. */
duration ExpectedLatency(const replica_record& record, const choice_terms& terms, instant now);

/**
 * The usable server of `service` with the least expected latency that is not in `excluded`;
 * nullptr if there is none. Near equals are chosen between at random.
 */
std::shared_ptr<replica_record> ChooseReplica(const replica_registry& replicas,
                                              const std::string& service,
                                              const std::vector<const replica_record*>& excluded,
                                              const choice_terms& terms,
                                              random_source& random,
                                              instant now);

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_REPLICA_CHOICE_H_
