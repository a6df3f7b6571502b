#ifndef LIMPETLEVER_ROUTING_HELD_VERSION_H_
#define LIMPETLEVER_ROUTING_HELD_VERSION_H_

#include <cstdint>
#include <vector>

namespace limpetlever {

/** One index version that a replica holds, and which of its shards. */
struct held_version {
  std::int64_t version = 0;
  /** Number of shards of the whole workload in this version. */
  int shard_count = 0;
  std::vector<int> shards;

  bool operator==(const held_version&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_HELD_VERSION_H_
