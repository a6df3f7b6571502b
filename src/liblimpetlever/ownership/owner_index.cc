#include "ownership/owner_index.h"

#include <cstdint>
#include <utility>

#include "base/hash.h"

namespace limpetlever {

owner_index::owner_index(ownership_view view, const std::vector<replica_location>& replicas)
    : view_(std::move(view)) {
  // Member names are hashed once per view instead of once per member and replica.
  using hashed_member = std::pair<std::uint64_t, std::size_t>;
  std::vector<hashed_member> all_members;
  std::unordered_map<std::string, std::vector<hashed_member>> by_data_centre;
  for (std::size_t i = 0; i < view_.members.size(); ++i) {
    all_members.emplace_back(Hash(view_.members[i].name), i);
    by_data_centre[view_.members[i].data_centre].push_back(all_members.back());
  }
  if (all_members.empty()) {
    return;
  }
  owner_by_replica_.reserve(replicas.size());
  for (const replica_location& replica : replicas) {
    const std::uint64_t replica_hash = Hash(replica.address);
    const auto local = by_data_centre.find(replica.data_centre);
    const std::vector<hashed_member>& candidates =
        local == by_data_centre.end() ? all_members : local->second;
    std::size_t best = candidates.front().second;
    std::uint64_t best_rank = CombineHashes(candidates.front().first, replica_hash);
    for (const auto& [member_hash, index] : candidates) {
      const std::uint64_t rank = CombineHashes(member_hash, replica_hash);
      if (rank > best_rank) {
        best = index;
        best_rank = rank;
      }
    }
    owner_by_replica_.emplace(replica.address, best);
  }
}

const view_member* owner_index::Find(const std::string& replica) const {
  const auto found = owner_by_replica_.find(replica);
  return found == owner_by_replica_.end() ? nullptr : &view_.members[found->second];
}

}  // namespace limpetlever
