#include "ownership/ownership_view.h"

#include "base/hash.h"

namespace limpetlever {

const view_member* FindOwner(const ownership_view& view,
                             const std::string& replica,
                             const std::string& data_centre) {
  const std::uint64_t replica_hash = Hash(replica);
  const view_member* local = nullptr;
  const view_member* any = nullptr;
  std::uint64_t local_rank = 0;
  std::uint64_t any_rank = 0;
  for (const view_member& member : view.members) {
    const std::uint64_t rank = CombineHashes(Hash(member.name), replica_hash);
    if (any == nullptr || rank > any_rank) {
      any = &member;
      any_rank = rank;
    }
    if (member.data_centre == data_centre && (local == nullptr || rank > local_rank)) {
      local = &member;
      local_rank = rank;
    }
  }
  return local != nullptr ? local : any;
}

}  // namespace limpetlever
