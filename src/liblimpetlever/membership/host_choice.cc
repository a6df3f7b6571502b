#include "membership/host_choice.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <set>
#include <utility>

#include "base/hash.h"

namespace limpetlever {

namespace {

// Connections to one backend server that a host should be able to hold: two requests under way,
// and one more to repeat on when a server stands still.
constexpr int kConnectionsPerHost = 3;
// Enough for the loss of a data centre and some hosts, whatever the servers accept.
constexpr int kLeastHostsInUse = 12;
// One host alone would take all callers of its data centre with it.
constexpr std::size_t kLeastNearHosts = 2;
// A query over 90 shards takes about 10 ms of processor time, which is 120 ms on a host with 0.084
// of a core. Hosts with less than this part of the strongest one's share are not used ...
constexpr double kLeastPartOfStrongest = 0.5;
// ... if that leaves so many hosts, which bears the loss of some, and this part of the processor
// time of the fleet.
constexpr std::size_t kLeastStrongHosts = 4;
constexpr double kLeastPartOfFleet = 0.25;
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

std::set<std::string> DataCentresOf(const std::vector<member>& members) {
  std::set<std::string> data_centres;
  for (const member& host : members) {
    data_centres.insert(host.data_centre);
  }
  return data_centres;
}

/** In each data centre the hosts with the most processor time, `most` in all. */
std::vector<member> StrongestOfEach(const std::vector<member>& members, std::size_t most) {
  if (members.size() <= most) {
    return members;
  }
  const auto data_centres = DataCentresOf(members);
  const std::size_t of_each = (most + data_centres.size() - 1) / data_centres.size();
  std::vector<member> strongest;
  for (const std::string& data_centre : data_centres) {
    std::vector<member> near = InDataCentre(members, data_centre);
    std::sort(near.begin(), near.end(), [](const member& a, const member& b) {
      return std::pair(-a.processor_share, Hash(a.name)) <
             std::pair(-b.processor_share, Hash(b.name));
    });
    near.resize(std::min(near.size(), of_each));
    strongest.insert(strongest.end(), near.begin(), near.end());
  }
  return strongest;
}

int ProcessorShareOf(const std::vector<member>& members) {
  return std::accumulate(members.begin(), members.end(), 0,
                         [](int sum, const member& host) { return sum + host.processor_share; });
}

/** Without the hosts that are much weaker than the strongest one, where the others suffice. */
std::vector<member> WithoutWeak(const std::vector<member>& members, int fleet_share) {
  int strongest = 0;
  for (const member& host : members) {
    strongest = std::max(strongest, host.processor_share);
  }
  std::vector<member> strong;
  std::copy_if(members.begin(), members.end(), std::back_inserter(strong),
               [strongest](const member& host) {
                 return host.processor_share >= strongest * kLeastPartOfStrongest;
               });
  const bool suffices = strong.size() >= kLeastStrongHosts &&
                        ProcessorShareOf(strong) >= fleet_share * kLeastPartOfFleet;
  return suffices ? strong : members;
}

double MeanPerDataCentre(const std::vector<member>& members) {
  return static_cast<double>(members.size()) /
         static_cast<double>(std::max<std::size_t>(1, DataCentresOf(members).size()));
}

}  // namespace

std::size_t MostHostsInUse(int max_connections) {
  return static_cast<std::size_t>(
      std::max(kLeastHostsInUse, max_connections / kConnectionsPerHost));
}

std::vector<member> HostsInUse(const std::vector<member>& members, std::size_t most_in_use) {
  std::vector<member> chosen = InState(members, member_state::alive);
  if (chosen.empty()) {
    chosen = InState(members, member_state::suspect);
  }
  const int fleet_share = ProcessorShareOf(chosen);
  return WithoutWeak(StrongestOfEach(chosen, most_in_use), fleet_share);
}

std::vector<member> ChooseHosts(const std::vector<member>& members,
                                const std::string& data_centre,
                                std::size_t most_in_use) {
  std::vector<member> chosen = HostsInUse(members, most_in_use);
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
