#include "ownership/member_selection.h"

#include <algorithm>

namespace limpetlever {

std::vector<view_member> SelectMembers(const ownership_view& view,
                                       const membership_status& report) {
  std::vector<view_member> wanted;
  std::set<std::string> known_names;
  for (const member& host : report.members) {
    known_names.insert(host.name);
    const bool is_live = host.state == member_state::alive || host.state == member_state::suspect;
    if (is_live && host.region == report.region && !report.taken_out_hosts.contains(host.name)) {
      wanted.push_back(
          {.name = host.name, .data_centre = host.data_centre, .incarnation = host.incarnation});
    }
  }
  for (const view_member& host : view.members) {
    if (!known_names.contains(host.name) && !report.taken_out_hosts.contains(host.name)) {
      wanted.push_back(host);
    }
  }
  std::sort(wanted.begin(), wanted.end(),
            [](const view_member& a, const view_member& b) { return a.name < b.name; });
  return wanted;
}

}  // namespace limpetlever
