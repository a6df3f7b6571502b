#include "routing/partition_map.h"

#include <algorithm>

namespace limpetlever {

int CoveredShards(const partition_map& map) {
  return static_cast<int>(std::count_if(map.shards.begin(), map.shards.end(),
                                        [](const auto& replicas) { return !replicas.empty(); }));
}

}  // namespace limpetlever
