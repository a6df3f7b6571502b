#include <criterion/criterion.h>

#include <set>

#include "membership/host_choice.h"
#include "membership/member_entry.h"

using namespace limpetlever;

namespace {

constexpr std::size_t kAll = 1000;

std::vector<member> Hosts(const std::vector<int>& by_data_centre) {
  std::vector<member> hosts;
  for (std::size_t d = 0; d < by_data_centre.size(); ++d) {
    for (int i = 0; i < by_data_centre[d]; ++i) {
      hosts.push_back({.name = "d" + std::to_string(d) + "h" + std::to_string(i),
                       .data_centre = "d" + std::to_string(d)});
    }
  }
  return hosts;
}

std::set<std::string> DataCentres(const std::vector<member>& hosts) {
  std::set<std::string> names;
  for (const member& host : hosts) {
    names.insert(host.data_centre);
  }
  return names;
}

}  // namespace

// Guards against callers that are sent far although hosts beside them can serve.
Test(host_choice, near_hosts_first) {
  const auto chosen = ChooseHosts(Hosts({4, 4, 2, 2}), "d2", kAll);
  cr_assert(chosen.size() == 2 && DataCentres(chosen) == std::set<std::string>{"d2"});
}

// Guards against one or two hosts that take the callers of a whole data centre.
Test(host_choice, few_near_hosts_are_not_overrun) {
  cr_assert(ChooseHosts(Hosts({4, 4, 1}), "d2", kAll).size() == 9);
  cr_assert(ChooseHosts(Hosts({20, 20, 2}), "d2", kAll).size() == 42);
  cr_assert(ChooseHosts(Hosts({4, 4}), "elsewhere", kAll).size() == 8);
}

// Guards against naming hosts that take no work, and against naming none while some may live.
Test(host_choice, hosts_that_leave_or_are_dead_are_not_named) {
  auto hosts = Hosts({3, 3});
  hosts[0].state = member_state::leaving;
  hosts[1].state = member_state::dead;
  hosts[2].state = member_state::suspect;
  for (const member& host : ChooseHosts(hosts, "d0", kAll)) {
    cr_assert(host.data_centre == "d1");
  }
  for (std::size_t i = 3; i < 6; ++i) {
    hosts[i].state = member_state::dead;
  }
  const auto last = ChooseHosts(hosts, "d0", kAll);
  cr_assert(last.size() == 1 && last[0].name == "d0h2");
}

// Guards against more addresses than a caller takes.
Test(host_choice, at_most_64) {
  cr_assert(ChooseHosts(Hosts({100, 100}), "d0", kAll).size() == kMostAdvisedHosts);
}

// Guards against a large fleet in which each host has less than one connection to a server, and
// against the weak hosts of a fleet doing the work of the strong.
Test(host_choice, a_large_fleet_uses_its_strongest_hosts) {
  auto hosts = Hosts({30, 30});
  for (member& host : hosts) {
    host.processor_share = 84;
  }
  hosts[7].processor_share = 500;
  const auto chosen = ChooseHosts(hosts, "d0", MostHostsInUse(48));
  cr_assert(chosen.size() == 8 && DataCentres(chosen) == std::set<std::string>{"d0"});
  cr_assert(chosen[0].name == "d0h7");
  cr_assert(ChooseHosts(hosts, "d0", MostHostsInUse(48)) == chosen, "the same for all callers");
  cr_assert(MostHostsInUse(3) >= 12);
}

// Guards against callers of a fleet with some strong hosts that wait for its weak ones; and against
// a few strong hosts that get the work of a fleet that they cannot bear.
Test(host_choice, weak_hosts_are_not_used_where_strong_ones_suffice) {
  auto hosts = Hosts({20, 20});
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].processor_share = i % 10 == 0 ? 500 : 84;
  }
  cr_assert(ChooseHosts(hosts, "d0", kAll).size() == 2);
  cr_assert(HostsInUse(hosts, kAll).size() == 4);
  hosts[0].state = member_state::dead;
  // Three are too few to lose one, so that all hosts are used.
  cr_assert(HostsInUse(hosts, kAll).size() == hosts.size() - 1);
  hosts[0].state = member_state::alive;
  for (member& host : hosts) {
    host.processor_share = host.processor_share == 84 ? 240 : 500;
  }
  cr_assert(HostsInUse(hosts, kAll).size() == hosts.size(), "four of forty are too weak");
}

// Guards against a processor share that is lost between hosts, and against entries of hosts that do
// not state it.
Test(member_entry, the_processor_share_is_optional) {
  member host{
      .name = "a", .region = "r", .data_centre = "d", .http_address = "x", .peer_address = "y"};
  cr_assert(MemberFromEntry(ToEntry(host, 0)) == host);
  host.processor_share = 84;
  cr_assert(MemberFromEntry(ToEntry(host, 0)) == host);
}
