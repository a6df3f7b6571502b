#include "membership/host_choice.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace limpetlever {

namespace {

// One host alone would take all callers of its data centre with it.
constexpr std::size_t kLeastNearHosts = 2;
// Part of the mean number of hosts in a data centre that bears the callers of one.
constexpr double kLeastPartOfMean = 0.5;

std::vector<member> InState(const std::vector<member>& members, member_state state) {
  std::vector<member> found;
  std::copy_if(members.begin(), members.end(), std::back_inserter(found),
               [state](const member& host) { return host.state == state; });
  return found;
}

std::vector<member> InDataCentre(const std::vector<member>& members,
                                 const std::string& data_centre) {
  std::vector<member> found;
  std::copy_if(members.begin(), members.end(), std::back_inserter(found),
               [&data_centre](const member& host) { return host.data_centre == data_centre; });
  return found;
}

double MeanPerDataCentre(const std::vector<member>& members) {
  std::set<std::string> data_centres;
  for (const member& host : members) {
    data_centres.insert(host.data_centre);
  }
  return static_cast<double>(members.size()) /
         static_cast<double>(std::max<std::size_t>(1, data_centres.size()));
}

}  // namespace

std::vector<member> ChooseHosts(const std::vector<member>& members,
                                const std::string& data_centre) {
  std::vector<member> chosen = InState(members, member_state::alive);
  if (chosen.empty()) {
    chosen = InState(members, member_state::suspect);
  }
  std::vector<member> near = InDataCentre(chosen, data_centre);
  if (near.size() >= kLeastNearHosts &&
      static_cast<double>(near.size()) >= kLeastPartOfMean * MeanPerDataCentre(chosen)) {
    chosen = std::move(near);
  }
  if (chosen.size() > kMostAdvisedHosts) {
    chosen.resize(kMostAdvisedHosts);
  }
  return chosen;
}

}  // namespace limpetlever
