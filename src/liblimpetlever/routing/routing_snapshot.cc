#include "routing/routing_snapshot.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace limpetlever {

namespace {

// Partition maps by workload, then by version, newest first.
using map_index = std::map<std::string, std::map<std::int64_t, partition_map, std::greater<>>>;

void AddReplica(const candidate& replica,
                const replica_status& status,
                std::map<std::int64_t, partition_map, std::greater<>>& maps) {
  for (const held_version& held : status.versions) {
    partition_map& map = maps[held.version];
    map.version = held.version;
    if (map.shards.size() < static_cast<std::size_t>(held.shard_count)) {
      map.shards.resize(held.shard_count);
    }
    for (const int shard : held.shards) {
      if (shard >= 0 && shard < held.shard_count) {
        map.shards[shard].push_back(replica);
      }
    }
  }
}

}  // namespace

routing_snapshot BuildRoutingSnapshot(const operator_table& table,
                                      const std::map<std::string, replica_status>& statuses) {
  map_index index;
  for (const backend_server_row& server : table.backend_servers) {
    const auto status = statuses.find(server.address);
    if (IsTakenOut(table, server) || status == statuses.end() || !status->second.usable) {
      continue;
    }
    const service_row* service = FindService(table, server.service);
    const data_centre_row* data_centre = FindDataCentre(table, server.data_centre);
    const candidate replica{.replica = server.address,
                            .service = server.service,
                            .data_centre = server.data_centre,
                            .weight = service->weight * data_centre->weight * server.weight,
                            .limit = status->second.limit,
                            .cold = status->second.cold};
    if (replica.weight > 0.0) {
      AddReplica(replica, status->second, index[service->workload]);
    }
  }
  routing_snapshot snapshot;
  for (auto& [workload, maps] : index) {
    for (auto& [version, map] : maps) {
      for (std::vector<candidate>& replicas : map.shards) {
        std::ranges::sort(replicas, {}, [](const candidate& replica) {
          return std::tie(replica.data_centre, replica.replica);
        });
      }
      snapshot.workloads[workload].push_back(std::move(map));
    }
  }
  return snapshot;
}

const partition_map* ChooseVersion(const std::vector<partition_map>& maps) {
  const partition_map* best = nullptr;
  double best_coverage = -1.0;
  for (const partition_map& map : maps) {
    if (map.shards.empty()) {
      continue;
    }
    const double coverage =
        static_cast<double>(CoveredShards(map)) / static_cast<double>(map.shards.size());
    if (coverage > best_coverage) {
      best = &map;
      best_coverage = coverage;
    }
  }
  return best;
}

}  // namespace limpetlever
