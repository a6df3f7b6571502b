#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

#include "control/source_selector.h"
#include "control/watcher_choice.h"
#include "source_model.h"

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

// Guards against a number of hosts that ask the service for its revision which is not that of the
// hosts that follow it: they would ask too often, or not often enough.
Test(source_selector, counts_the_hosts_that_follow_the_service) {
  cr_assert(source_selector::CountDirectHosts({}) == 0);
  cr_assert(source_selector::CountDirectHosts(MakeFleet(1, 1)) == 1);
  cr_assert(source_selector::CountDirectHosts(MakeFleet(4, 3)) == 12);
  auto hosts = MakeFleet(4, 30);
  cr_assert(source_selector::CountDirectHosts(hosts) == 8);
  for (int i = 0; i < 29; ++i) {
    SetState(hosts, "d0h" + std::to_string(i), member_state::dead);
  }
  cr_assert(source_selector::CountDirectHosts(hosts) == 7);
}

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

// Guards against hosts of a small fleet that leave a service that answers them again for other
// hosts which may not serve them, as long as these are ahead from time to time.
Test(source_selector, a_host_stays_with_a_service_that_answers_it_again) {
  const auto hosts = MakeFleet(4, 3);
  source_selector selector(FirstWatcher(hosts, "d0"), "d0");
  const instant failed{seconds(100)};
  selector.Choose(hosts, 12, failed);
  selector.OnFailed(failed);
  const source_evidence refused{.is_service_answering = false,
                                .service_answered_at = failed - seconds(1)};
  cr_assert(!selector.Choose(hosts, 12, failed, refused).empty(), "it has not answered since");
  const source_evidence answers{.service_answered_at = failed + seconds(1)};
  cr_assert(selector.Choose(hosts, 12, failed + seconds(2), answers).empty());
  selector.OnFailed(failed + seconds(3));
  cr_assert(!selector.Choose(hosts, 12, failed + seconds(3), answers).empty(), "it fails again");
}

// Guards against a host that is left without a source when its watchers fail in turn or crash.
Test(source_selector, a_host_falls_back_to_the_service) {
  auto hosts = MakeFleet(4, 30);
  const std::string own = FindFollower(hosts);
  source_selector selector(own, "d0");
  instant now{};
  std::set<std::string> tried;
  const source_evidence answers{.is_left_behind = false};
  while (!selector.Choose(hosts, 120, now, answers).empty()) {
    if (!tried.insert(selector.current()).second) {
      now += std::chrono::milliseconds(500);
      cr_assert(now < instant(seconds(4)), "no fallback to the service");
    }
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

// Guards against a fleet whose hosts all call the service while it is away: on a day of 195 hosts
// they sent it 200 to 450 watches a second.
Test(source_selector, a_follower_does_not_call_a_service_that_is_away) {
  const auto hosts = MakeFleet(4, 30);
  source_selector selector(FindFollower(hosts), "d0");
  instant now{seconds(100)};
  // The service has answered just before it went away.
  const source_evidence away{
      .service_answered_at = now, .are_others_ahead = false, .is_left_behind = false};
  std::set<std::string> tried;
  for (int i = 0; i < 30; ++i) {
    now += std::chrono::milliseconds(500);
    const std::string source = selector.Choose(hosts, 120, now, away);
    cr_assert(!source.empty());
    tried.insert(source);
    selector.OnFailed(now);
  }
  cr_assert(tried.size() == 3, "all candidates are tried again in turn");
  const source_evidence answers{
      .service_answered_at = now, .are_others_ahead = false, .is_left_behind = false};
  cr_assert(selector.Choose(hosts, 120, now, answers).empty(), "it answers, the watchers do not");
  selector.OnFailed(now);
  cr_assert(!selector.Choose(hosts, 120, now, answers).empty(), "it does not answer watches");
}

// Guards against followers that call the service at once when it answers again, before the watchers
// have found that, and that stay there.
Test(source_selector, a_follower_gives_the_watchers_time_and_returns_to_them) {
  const auto hosts = MakeFleet(4, 30);
  source_selector selector(FindFollower(hosts), "d0");
  instant now{seconds(100)};
  const auto answered_now = [&now] {
    return source_evidence{
        .service_answered_at = now, .are_others_ahead = false, .is_left_behind = false};
  };
  for (int i = 0; i < 3; ++i) {
    cr_assert(!selector.Choose(hosts, 120, now, answered_now()).empty());
    now += std::chrono::milliseconds(100);
    selector.OnFailed(now);
  }
  cr_assert(!selector.Choose(hosts, 120, now, answered_now()).empty());
  const source_evidence ahead{.service_answered_at = now, .is_left_behind = true};
  const std::string other = selector.Choose(hosts, 120, now, ahead);
  cr_assert(!other.empty() && !IsWatcher(hosts, "d0", other), "changes are missing here");
  for (int i = 0; i < 8 && !selector.current().empty(); ++i) {
    selector.OnFailed(now);
    selector.Choose(hosts, 120, now, ahead);
  }
  cr_assert(selector.current().empty(), "no watcher has them");
  now += seconds(5);
  cr_assert(!selector.Choose(hosts, 120, now, answered_now()).empty());
}

// Guards against watchers that follow each other, so that none of them calls a service that is
// away, or that all change their source again and again.
Test(source_selector, a_watcher_stays_at_a_service_that_is_away_for_all) {
  const auto hosts = MakeFleet(4, 30);
  const std::string own = FirstWatcher(hosts, "d0");
  source_selector selector(own, "d0");
  const source_evidence away{
      .is_service_answering = false, .are_others_ahead = false, .is_left_behind = false};
  instant now{};
  for (int i = 0; i < 20; ++i) {
    now += std::chrono::milliseconds(500);
    cr_assert(selector.Choose(hosts, 120, now, away).empty());
    selector.OnFailed(now);
  }
  const source_evidence refuses_this_host{.is_service_answering = false, .are_others_ahead = true};
  cr_assert(!selector.Choose(hosts, 120, now, refuses_this_host).empty());
}

// Guards against a fleet of any size whose hosts call the service while it is away or when it
// returns, and against hosts that are not up to date some seconds after its return.
Test(source_selector, a_fleet_leaves_a_service_that_is_away_alone) {
  struct shape {
    int data_centres;
    int hosts;
  };
  for (const shape& size : {shape{4, 27}, shape{6, 33}, shape{17, 40}}) {
    source_model fleet(size.data_centres, size.hosts, false);
    fleet.Run(seconds(10), true);
    cr_assert(fleet.BehindBy(3) == 0);
    fleet.Run(seconds(12), false);
    // Each watcher calls again after up to 2.4 s, a follower once before it knows.
    cr_assert(fleet.calls() <= 20 * fleet.watchers() + fleet.size() / 4, "%d hosts: %d calls",
              fleet.size(), fleet.calls());
    fleet.Run(seconds(6), true);
    cr_assert(fleet.BehindBy(3) == 0, "%d of %d hosts are behind", fleet.BehindBy(3), fleet.size());
    cr_assert(fleet.calls() <= 20 * fleet.watchers() + fleet.size() / 4, "%d hosts: %d calls",
              fleet.size(), fleet.calls());
  }
}

// Guards against a model that would not find such a fleet.
Test(source_selector, the_model_finds_a_fleet_that_calls_a_service_that_is_away) {
  source_model fleet(6, 33, true);
  fleet.Run(seconds(10), true);
  fleet.Run(seconds(12), false);
  cr_assert(fleet.calls() > 20 * fleet.watchers() + fleet.size() / 4, "%d calls", fleet.calls());
}

// Guards against a host without a source of changes: its own data centre's watchers are cut off
// from the service, another one is behind as well, and the service failed once. Such hosts had an
// old configuration 7 s after its confirmation.
Test(source_selector, a_host_that_is_left_behind_tries_all_watchers_and_the_service) {
  const auto hosts = MakeFleet(6, 33);
  source_selector selector(FindFollower(hosts), "d0");
  instant now{seconds(100)};
  std::set<std::string> tried;
  int calls = 0;
  for (int i = 0; i < 30; ++i) {
    now += std::chrono::milliseconds(300);
    const source_evidence evidence{.service_answered_at = now};
    const std::string source = selector.Choose(hosts, 198, now, evidence);
    tried.insert(source);
    calls += source.empty() ? 1 : 0;
    selector.OnFailed(now);
  }
  cr_assert(tried.size() == 13, "two watchers in each data centre and the service: %zu",
            tried.size());
  cr_assert(calls >= 1 && calls <= 5, "%d calls of the service in 9 s", calls);
}

// Guards against a process that ends when all hosts of a data centre are lost: there is no watcher
// to choose there.
Test(source_selector, a_data_centre_without_hosts_is_left_out) {
  auto hosts = MakeFleet(3, 30);
  for (member& host : hosts) {
    host.state = host.data_centre == "d0" ? member_state::alive : member_state::dead;
  }
  source_selector selector(FindFollower(hosts), "d0");
  for (const bool is_left_behind : {false, true}) {
    const source_evidence evidence{.is_left_behind = is_left_behind};
    cr_assert(IsWatcher(hosts, "d0", selector.Choose(hosts, 90, {}, evidence)));
  }
  for (member& host : hosts) {
    host.state = member_state::dead;
  }
  cr_assert(selector.Choose(hosts, 90, {}).empty());
}
