#include <criterion/criterion.h>

#include <set>

#include "membership/host_choice.h"

using namespace limpetlever;

namespace {

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
  const auto chosen = ChooseHosts(Hosts({4, 4, 2, 2}), "d2");
  cr_assert(chosen.size() == 2 && DataCentres(chosen) == std::set<std::string>{"d2"});
}

// Guards against one or two hosts that take the callers of a whole data centre.
Test(host_choice, few_near_hosts_are_not_overrun) {
  cr_assert(ChooseHosts(Hosts({4, 4, 1}), "d2").size() == 9);
  cr_assert(ChooseHosts(Hosts({20, 20, 2}), "d2").size() == 42);
  cr_assert(ChooseHosts(Hosts({4, 4}), "elsewhere").size() == 8);
}

// Guards against naming hosts that take no work, and against naming none while some may live.
Test(host_choice, hosts_that_leave_or_are_dead_are_not_named) {
  auto hosts = Hosts({3, 3});
  hosts[0].state = member_state::leaving;
  hosts[1].state = member_state::dead;
  hosts[2].state = member_state::suspect;
  for (const member& host : ChooseHosts(hosts, "d0")) {
    cr_assert(host.data_centre == "d1");
  }
  for (std::size_t i = 3; i < 6; ++i) {
    hosts[i].state = member_state::dead;
  }
  const auto last = ChooseHosts(hosts, "d0");
  cr_assert(last.size() == 1 && last[0].name == "d0h2");
}

// Guards against more addresses than a caller takes.
Test(host_choice, at_most_64) {
  cr_assert(ChooseHosts(Hosts({100, 100}), "d0").size() == kMostAdvisedHosts);
}
