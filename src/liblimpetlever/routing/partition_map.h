#ifndef LIMPETLEVER_ROUTING_PARTITION_MAP_H_
#define LIMPETLEVER_ROUTING_PARTITION_MAP_H_

#include <cstdint>
#include <vector>

#include "routing/candidate.h"

namespace limpetlever {

/**
 * The usable replicas of each shard in one index version of a workload, sorted by data centre and
 * address.
 */
struct partition_map {
  std::int64_t version = 0;
  std::vector<std::vector<candidate>> shards;

  bool operator==(const partition_map&) const = default;
};

/** Number of shards that have at least one usable replica. */
int CoveredShards(const partition_map& map);

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_PARTITION_MAP_H_
