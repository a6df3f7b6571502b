#include "membership/host_choice.h"

#include <algorithm>
#include <iterator>

namespace limpetlever {

namespace {

std::vector<member> InState(const std::vector<member>& members, member_state state) {
  std::vector<member> found;
  std::copy_if(members.begin(), members.end(), std::back_inserter(found),
               [state](const member& host) { return host.state == state; });
  return found;
}

}  // namespace

std::vector<member> ChooseHosts(const std::vector<member>& members,
                                const std::string& data_centre) {
  std::vector<member> chosen = InState(members, member_state::alive);
  if (chosen.empty()) {
    chosen = InState(members, member_state::suspect);
  }
  std::stable_partition(chosen.begin(), chosen.end(), [&data_centre](const member& host) {
    return host.data_centre == data_centre;
  });
  if (chosen.size() > kMostAdvisedHosts) {
    chosen.resize(kMostAdvisedHosts);
  }
  return chosen;
}

}  // namespace limpetlever
