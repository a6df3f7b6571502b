#ifndef LIMPETLEVER_ROUTING_ROUTING_SNAPSHOT_H_
#define LIMPETLEVER_ROUTING_ROUTING_SNAPSHOT_H_

#include <map>
#include <string>
#include <vector>

#include "routing/partition_map.h"
#include "routing/replica_status.h"
#include "table/operator_table.h"

namespace limpetlever {

/**
 * The replicas of each workload's shards by index version. Rebuilt when the table or the status of
 * a replica changes.
 */
struct routing_snapshot {
  /** Partition maps of each workload, newest version first. */
  std::map<std::string, std::vector<partition_map>> workloads;

  bool operator==(const routing_snapshot&) const = default;
};

/**
 * Joins the table with the status of the replicas. Omits backend servers that are out, that have
 * no status or an unusable one, and those of weight 0.
 */
routing_snapshot BuildRoutingSnapshot(const operator_table& table,
                                      const std::map<std::string, replica_status>& statuses);

/**
 * The newest version in which every shard has a usable replica, or else the one with the greatest
 * share of covered shards; nullptr if no version is known. `maps` is sorted newest first.
 */
const partition_map* ChooseVersion(const std::vector<partition_map>& maps);

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_ROUTING_SNAPSHOT_H_
