#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

#include "control/source_choice.h"
#include "control/watcher_choice.h"

using namespace limpetlever;
using std::chrono::seconds;

namespace {

std::vector<member> Fleet(int data_centres, int hosts_of_each) {
  std::vector<member> hosts;
  for (int d = 0; d < data_centres; ++d) {
    for (int i = 0; i < hosts_of_each; ++i) {
      hosts.push_back({.name = "d" + std::to_string(d) + "h" + std::to_string(i),
                       .data_centre = "d" + std::to_string(d)});
    }
  }
  return hosts;
}

std::string Watcher(const std::vector<member>& hosts, const std::string& data_centre) {
  return ChooseWatchers(hosts, data_centre).front();
}

/** A host of d0 that does not watch. */
std::string Follower(const std::vector<member>& hosts) {
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

// Guards against a large fleet in which every host calls the service, and against watchers that
// follow one another.
Test(source_choice, few_hosts_of_a_large_fleet_watch_the_service) {
  const auto hosts = Fleet(4, 30);
  int direct = 0;
  for (const member& host : hosts) {
    source_choice choice(host.name, host.data_centre);
    const std::string source = choice.Choose(hosts, 120, {});
    direct += source.empty() ? 1 : 0;
    cr_assert(source.empty() == choice.IsRelay(hosts));
    cr_assert(source.empty() || IsWatcher(hosts, host.data_centre, source), "a near watcher");
  }
  cr_assert(direct == 8);
}

// Guards against a small fleet that depends on a few of its hosts.
Test(source_choice, a_small_fleet_watches_by_itself) {
  const auto hosts = Fleet(4, 3);
  for (const member& host : hosts) {
    source_choice choice(host.name, host.data_centre);
    cr_assert(choice.Choose(hosts, 12, {}).empty());
  }
}

// Guards against a host that knows nothing new while the service turns it away and serves others.
Test(source_choice, a_host_that_is_turned_away_follows_another) {
  const auto hosts = Fleet(4, 3);
  const std::string own = Watcher(hosts, "d0");
  source_choice choice(own, "d0");
  choice.Choose(hosts, 12, {});
  choice.OnFailed({});
  const std::string source = choice.Choose(hosts, 12, {});
  cr_assert(!source.empty() && source != own);
  cr_assert(choice.Choose(hosts, 12, instant(seconds(16))).empty(), "the service is tried again");
}

// Guards against a host that is stuck when its watchers fail one after the other, leave or die.
Test(source_choice, every_host_can_go_on_alone) {
  auto hosts = Fleet(4, 30);
  const std::string own = Follower(hosts);
  source_choice choice(own, "d0");
  instant now{};
  std::set<std::string> tried;
  while (!choice.Choose(hosts, 120, now).empty()) {
    cr_assert(tried.insert(choice.current()).second, "tried twice");
    choice.OnFailed(now);
  }
  cr_assert(tried.size() == 3, "two near watchers and a far one");
  now += seconds(16);
  const std::string source = choice.Choose(hosts, 120, now);
  cr_assert(!source.empty());
  SetState(hosts, source, member_state::dead);
  cr_assert(choice.Choose(hosts, 120, now) != source);
}

// Guards against followers that change their source with every change of the fleet.
Test(source_choice, a_source_that_works_is_kept) {
  auto hosts = Fleet(2, 30);
  source_choice choice(Follower(hosts), "d0");
  const std::string source = choice.Choose(hosts, 60, {});
  for (const member& host : Fleet(2, 30)) {
    if (!IsWatcher(hosts, host.data_centre, host.name)) {
      SetState(hosts, host.name, member_state::suspect);
      cr_assert(choice.Choose(hosts, 60, {}) == source);
    }
  }
}
