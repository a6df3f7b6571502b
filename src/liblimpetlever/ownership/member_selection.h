#ifndef LIMPETLEVER_OWNERSHIP_MEMBER_SELECTION_H_
#define LIMPETLEVER_OWNERSHIP_MEMBER_SELECTION_H_

#include <set>
#include <string>
#include <vector>

#include "membership/member.h"
#include "ownership/ownership_view.h"

namespace limpetlever {

/** What a host knows about the hosts from which it selects the members of the next view. */
struct membership_status {
  std::string region;
  /** Hosts that this host knows of, with their states. */
  std::vector<member> members;
  /** Names of hosts that operators have taken out. */
  std::set<std::string> taken_out_hosts;

  bool operator==(const membership_status&) const = default;
};

/**
 * The members that the next view of the region should have, sorted by name: hosts that are alive or
 * suspect and not taken out, and members of `view` whose state is unknown to this host. The latter
 * are kept because a host that has just started knows no other host yet and must not drop them all.
 */
std::vector<view_member> SelectMembers(const ownership_view& view, const membership_status& report);

}  // namespace limpetlever

#endif  // LIMPETLEVER_OWNERSHIP_MEMBER_SELECTION_H_
