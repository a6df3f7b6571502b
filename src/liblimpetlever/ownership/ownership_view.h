#ifndef LIMPETLEVER_OWNERSHIP_OWNERSHIP_VIEW_H_
#define LIMPETLEVER_OWNERSHIP_OWNERSHIP_VIEW_H_

#include <cstdint>
#include <string>
#include <vector>

namespace limpetlever {

/** A host that may own replicas. */
struct view_member {
  std::string name;
  std::string data_centre;
  std::int64_t incarnation = 0;

  bool operator==(const view_member&) const = default;
};

/** The hosts that share the replicas of a region in one epoch. Members are sorted by name. */
struct ownership_view {
  /** Increases by one with each change of the members; 0 means that no view is known. */
  std::int64_t epoch = 0;
  std::vector<view_member> members;

  bool operator==(const ownership_view&) const = default;
};

/**
 * The host that owns a replica: the highest by rendezvous hashing among the members in the
 * replica's data centre, or among all members if that data centre has none. nullptr if there are no
 * members.
 */
const view_member* FindOwner(const ownership_view& view,
                             const std::string& replica,
                             const std::string& data_centre);

}  // namespace limpetlever

#endif  // LIMPETLEVER_OWNERSHIP_OWNERSHIP_VIEW_H_
