#include <criterion/criterion.h>

#include <set>

#include "membership/host_choice.h"
#include "membership/member_entry.h"

using namespace limpetlever;

namespace {

constexpr std::size_t kNoLimit = 1000;

std::vector<member> MakeHosts(const std::vector<int>& by_data_centre) {
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

// Guards against sending callers to other data centres although local hosts have the capacity.
Test(host_choice, local_hosts_are_preferred) {
  const auto chosen = ChooseHosts(MakeHosts({4, 4, 2, 2}), "d2", kNoLimit);
  cr_assert(chosen.size() == 2 && DataCentres(chosen) == std::set<std::string>{"d2"});
}

// Guards against one or two hosts that must serve the callers of a whole data centre.
Test(host_choice, few_local_hosts_are_not_overloaded) {
  cr_assert(ChooseHosts(MakeHosts({4, 4, 1}), "d2", kNoLimit).size() == 9);
  cr_assert(ChooseHosts(MakeHosts({20, 20, 2}), "d2", kNoLimit).size() == 42);
  cr_assert(ChooseHosts(MakeHosts({4, 4}), "elsewhere", kNoLimit).size() == 8);
}

// Guards against choosing hosts that accept no requests, and against choosing none while a suspect
// host may still be alive.
Test(host_choice, leaving_and_dead_hosts_are_not_chosen) {
  auto hosts = MakeHosts({3, 3});
  hosts[0].state = member_state::leaving;
  hosts[1].state = member_state::dead;
  hosts[2].state = member_state::suspect;
  for (const member& host : ChooseHosts(hosts, "d0", kNoLimit)) {
    cr_assert(host.data_centre == "d1");
  }
  for (std::size_t i = 3; i < 6; ++i) {
    hosts[i].state = member_state::dead;
  }
  const auto suspects_only = ChooseHosts(hosts, "d0", kNoLimit);
  cr_assert(suspects_only.size() == 1 && suspects_only[0].name == "d0h2");
}

// Guards against returning more hosts than a caller uses.
Test(host_choice, at_most_64) {
  cr_assert(ChooseHosts(MakeHosts({100, 100}), "d0", kNoLimit).size() == kMaxAdvisedHosts);
}

// Guards against a large fleet in which each host can hold less than one connection to a backend
// server, and against weak hosts being used in place of stronger ones.
Test(host_choice, a_large_fleet_uses_its_strongest_hosts) {
  auto hosts = MakeHosts({30, 30});
  for (member& host : hosts) {
    host.processor_share = 84;
  }
  hosts[7].processor_share = 500;
  const auto chosen = ChooseHosts(hosts, "d0", MaxHostsInUse(48));
  cr_assert(chosen.size() == 8 && DataCentres(chosen) == std::set<std::string>{"d0"});
  cr_assert(chosen[0].name == "d0h7");
  cr_assert(ChooseHosts(hosts, "d0", MaxHostsInUse(48)) == chosen, "the same for all callers");
  cr_assert(MaxHostsInUse(3) >= 12);
}

// Guards against callers being sent to slow, weak hosts where the strong ones have the capacity,
// and against sending all callers to a few strong hosts that do not have it.
Test(host_choice, weak_hosts_are_not_used_where_strong_ones_suffice) {
  auto hosts = MakeHosts({20, 20});
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].processor_share = i % 10 == 0 ? 500 : 84;
  }
  cr_assert(ChooseHosts(hosts, "d0", kNoLimit).size() == 2);
  cr_assert(SelectHostsInUse(hosts, kNoLimit).size() == 4);
  hosts[0].state = member_state::dead;
  // Three strong hosts are too few to tolerate the loss of one, so all hosts are used.
  cr_assert(SelectHostsInUse(hosts, kNoLimit).size() == hosts.size() - 1);
  hosts[0].state = member_state::alive;
  for (member& host : hosts) {
    host.processor_share = host.processor_share == 84 ? 240 : 500;
  }
  cr_assert(SelectHostsInUse(hosts, kNoLimit).size() == hosts.size(), "four of forty are too weak");
}

// Guards against losing the processor share in a gossip entry, and against refusing entries of
// hosts that do not state it.
Test(member_entry, the_processor_share_is_optional) {
  member host{.name = "a",
              .region = "r",
              .data_centre = "d",
              .http_address = "10.0.0.1:80",
              .peer_address = "10.0.0.1:81"};
  cr_assert(ParseMember(ToGossipEntry(host, 0)) == host);
  host.processor_share = 84;
  cr_assert(ParseMember(ToGossipEntry(host, 0)) == host);
}
