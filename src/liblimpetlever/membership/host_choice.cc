#include "membership/host_choice.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <set>
#include <utility>

#include "base/hash.h"

namespace limpetlever {

namespace {

// Connections that each host should be able to hold to one backend server: two for requests in
// flight, and one for a retry when the server stalls.
constexpr int kConnectionsPerHost = 3;
// Tolerates the loss of a data centre and some hosts. Takes precedence over the connection limit of
// the backend servers.
constexpr int kMinHostsInUse = 12;
// With a single host in its data centre, the failure of that host would affect all local callers.
constexpr std::size_t kMinLocalHosts = 2;
// A query over 90 shards takes about 10 ms of processor time, which is 120 ms on a host with 0.084
// of a core. Hosts with less than this fraction of the strongest host's processor share are not
// used, provided that the remaining (strong) hosts meet both of the following minimums.
constexpr double kMinFractionOfStrongest = 0.5;
// Tolerates the loss of some hosts.
constexpr std::size_t kMinStrongHosts = 4;
// Fraction of the processor time of the whole fleet.
constexpr double kMinFractionOfFleet = 0.25;
// A data centre with fewer hosts than this fraction of the mean per data centre cannot serve its
// own callers alone.
constexpr double kMinFractionOfMean = 0.5;
// Hosts that were chosen for a data centre serve its callers alone while this fraction of them is
// live.
constexpr double kMinLiveShare = 0.5;

std::vector<member> MembersInState(const std::vector<member>& members, member_state state) {
  std::vector<member> found;
  std::copy_if(members.begin(), members.end(), std::back_inserter(found),
               [state](const member& host) { return host.state == state; });
  return found;
}

std::vector<member> MembersInDataCentre(const std::vector<member>& members,
                                        const std::string& data_centre) {
  std::vector<member> found;
  std::copy_if(members.begin(), members.end(), std::back_inserter(found),
               [&data_centre](const member& host) { return host.data_centre == data_centre; });
  return found;
}

std::set<std::string> CollectDataCentres(const std::vector<member>& members) {
  std::set<std::string> data_centres;
  for (const member& host : members) {
    data_centres.insert(host.data_centre);
  }
  return data_centres;
}

/**
 * Returns the hosts with the most processor time, the same number from each data centre or all of a
 * smaller one: in all at most `max_hosts`, rounded up to a multiple of the number of data centres.
 */
std::vector<member> SelectStrongestPerDataCentre(const std::vector<member>& members,
                                                 std::size_t max_hosts) {
  if (members.size() <= max_hosts) {
    return members;
  }
  const auto data_centres = CollectDataCentres(members);
  const std::size_t hosts_per_data_centre =
      (max_hosts + data_centres.size() - 1) / data_centres.size();
  std::vector<member> strongest;
  for (const std::string& data_centre : data_centres) {
    std::vector<member> local = MembersInDataCentre(members, data_centre);
    std::sort(local.begin(), local.end(), [](const member& a, const member& b) {
      return std::pair(-a.processor_share, Hash(a.name)) <
             std::pair(-b.processor_share, Hash(b.name));
    });
    local.resize(std::min(local.size(), hosts_per_data_centre));
    strongest.insert(strongest.end(), local.begin(), local.end());
  }
  return strongest;
}

int TotalProcessorShare(const std::vector<member>& members) {
  return std::accumulate(members.begin(), members.end(), 0,
                         [](int sum, const member& host) { return sum + host.processor_share; });
}

/**
 * Removes the hosts that are much weaker than the strongest one; returns all members if the others
 * are too few or have too little processor time.
 */
std::vector<member> RemoveWeakHosts(const std::vector<member>& members, int fleet_share) {
  int strongest = 0;
  for (const member& host : members) {
    strongest = std::max(strongest, host.processor_share);
  }
  std::vector<member> strong;
  std::copy_if(members.begin(), members.end(), std::back_inserter(strong),
               [strongest](const member& host) {
                 return host.processor_share >= strongest * kMinFractionOfStrongest;
               });
  const bool suffices = strong.size() >= kMinStrongHosts &&
                        TotalProcessorShare(strong) >= fleet_share * kMinFractionOfFleet;
  return suffices ? strong : members;
}

double MeanHostsPerDataCentre(const std::vector<member>& members) {
  return static_cast<double>(members.size()) /
         static_cast<double>(std::max<std::size_t>(1, CollectDataCentres(members).size()));
}

}  // namespace

std::size_t MaxHostsInUse(int max_connections) {
  return static_cast<std::size_t>(std::max(kMinHostsInUse, max_connections / kConnectionsPerHost));
}

std::vector<member> SelectHostsInUse(const std::vector<member>& members, std::size_t max_in_use) {
  std::vector<member> chosen = MembersInState(members, member_state::alive);
  if (chosen.empty()) {
    chosen = MembersInState(members, member_state::suspect);
  }
  const int fleet_share = TotalProcessorShare(chosen);
  return RemoveWeakHosts(SelectStrongestPerDataCentre(chosen, max_in_use), fleet_share);
}

std::vector<member> ChooseHosts(const std::vector<member>& members,
                                const std::string& data_centre,
                                std::size_t max_in_use) {
  std::vector<member> chosen = SelectHostsInUse(members, max_in_use);
  std::vector<member> local = MembersInDataCentre(chosen, data_centre);
  if (local.size() >= kMinLocalHosts &&
      static_cast<double>(local.size()) >= kMinFractionOfMean * MeanHostsPerDataCentre(chosen)) {
    chosen = std::move(local);
  }
  if (chosen.size() > kMaxAdvisedHosts) {
    chosen.resize(kMaxAdvisedHosts);
  }
  return chosen;
}

std::vector<member> ChooseLiveHosts(const std::vector<member>& members,
                                    const std::function<bool(const member&)>& is_live,
                                    const std::string& data_centre,
                                    std::size_t max_in_use) {
  std::vector<member> chosen = ChooseHosts(members, data_centre, max_in_use);
  const auto chosen_count = static_cast<double>(chosen.size());
  std::erase_if(chosen, [&is_live](const member& host) { return !is_live(host); });
  const auto live_count = static_cast<double>(chosen.size());
  if (live_count == chosen_count ||
      (chosen.size() >= kMinLocalHosts && live_count >= kMinLiveShare * chosen_count)) {
    return chosen;
  }
  std::vector<member> live;
  std::copy_if(members.begin(), members.end(), std::back_inserter(live), is_live);
  return ChooseHosts(live, data_centre, max_in_use);
}

}  // namespace limpetlever
