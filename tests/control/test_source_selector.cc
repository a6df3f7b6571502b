#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

#include "control/source_selector.h"
#include "control/watcher_choice.h"

using namespace limpetlever;
using std::chrono::seconds;

namespace {

std::vector<member> MakeFleet(int data_centres, int hosts_per_data_centre) {
  std::vector<member> hosts;
  for (int d = 0; d < data_centres; ++d) {
    for (int i = 0; i < hosts_per_data_centre; ++i) {
      hosts.push_back({.name = "d" + std::to_string(d) + "h" + std::to_string(i),
                       .data_centre = "d" + std::to_string(d)});
    }
  }
  return hosts;
}

std::string FirstWatcher(const std::vector<member>& hosts, const std::string& data_centre) {
  return ChooseWatchers(hosts, data_centre).front();
}

/** The name of a host of d0 that is not a watcher. */
std::string FindFollower(const std::vector<member>& hosts) {
  for (const member& host : hosts) {
    if (!IsWatcher(hosts, "d0", host.name)) {
      return host.name;
    }
  }
  return {};
}

void SetState(std::vector<member>& hosts, const std::string& name, member_state state) {
  for (member& host : hosts) {
    if (host.name == name) {
      host.state = state;
    }
  }
}

}  // namespace

// Guards against a large fleet in which every host watches the key-value service, and against
// watchers that follow other hosts.
Test(source_selector, few_hosts_of_a_large_fleet_watch_the_service) {
  const auto hosts = MakeFleet(4, 30);
  int direct_hosts = 0;
  for (const member& host : hosts) {
    source_selector selector(host.name, host.data_centre);
    const std::string source = selector.Choose(hosts, 120, {});
    direct_hosts += source.empty() ? 1 : 0;
    cr_assert(source.empty() == selector.ShouldRelay(hosts));
    cr_assert(source.empty() || IsWatcher(hosts, host.data_centre, source),
              "a watcher of its own data centre");
  }
  cr_assert(direct_hosts == 8);
}

// Guards against a small fleet in which hosts depend on a few watchers.
Test(source_selector, all_hosts_of_a_small_fleet_watch_the_service) {
  const auto hosts = MakeFleet(4, 3);
  for (const member& host : hosts) {
    source_selector selector(host.name, host.data_centre);
    cr_assert(selector.Choose(hosts, 12, {}).empty());
  }
}

// Guards against a host that receives no changes while the service refuses it and serves others.
Test(source_selector, a_host_that_the_service_refuses_follows_another) {
  const auto hosts = MakeFleet(4, 3);
  const std::string own = FirstWatcher(hosts, "d0");
  source_selector selector(own, "d0");
  selector.Choose(hosts, 12, {});
  selector.OnFailed({});
  const std::string source = selector.Choose(hosts, 12, {});
  cr_assert(!source.empty() && source != own);
  cr_assert(selector.Choose(hosts, 12, instant(seconds(16))).empty(), "the service is tried again");
}

// Guards against a host that is left without a source when its watchers fail in turn or crash.
Test(source_selector, a_host_falls_back_to_the_service) {
  auto hosts = MakeFleet(4, 30);
  const std::string own = FindFollower(hosts);
  source_selector selector(own, "d0");
  instant now{};
  std::set<std::string> tried;
  while (!selector.Choose(hosts, 120, now).empty()) {
    cr_assert(tried.insert(selector.current()).second, "tried twice");
    selector.OnFailed(now);
  }
  cr_assert(tried.size() == 3, "two local watchers and a remote one");
  now += seconds(16);
  const std::string source = selector.Choose(hosts, 120, now);
  cr_assert(!source.empty());
  SetState(hosts, source, member_state::dead);
  cr_assert(selector.Choose(hosts, 120, now) != source);
}

// Guards against followers that change their source when another host of the fleet changes.
Test(source_selector, a_source_that_works_is_kept) {
  auto hosts = MakeFleet(2, 30);
  source_selector selector(FindFollower(hosts), "d0");
  const std::string source = selector.Choose(hosts, 60, {});
  for (const member& host : MakeFleet(2, 30)) {
    if (!IsWatcher(hosts, host.data_centre, host.name)) {
      SetState(hosts, host.name, member_state::suspect);
      cr_assert(selector.Choose(hosts, 60, {}) == source);
    }
  }
}
