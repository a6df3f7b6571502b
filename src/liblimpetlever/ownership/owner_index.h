#ifndef LIMPETLEVER_OWNERSHIP_OWNER_INDEX_H_
#define LIMPETLEVER_OWNERSHIP_OWNER_INDEX_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "ownership/ownership_view.h"
#include "ownership/replica_location.h"

namespace limpetlever {

/** The owner of each replica in one view, as by FindOwner. Rebuilt for each new view or table. */
class owner_index {
 public:
  owner_index() = default;
  owner_index(ownership_view view, const std::vector<replica_location>& replicas);

  /** The owner of `replica`; nullptr if the replica is unknown or the view has no members. */
  const view_member* Find(const std::string& replica) const;

  const ownership_view& view() const { return view_; }

 private:
  ownership_view view_;
  std::unordered_map<std::string, std::size_t> owner_by_replica_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_OWNERSHIP_OWNER_INDEX_H_
