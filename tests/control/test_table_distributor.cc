#include <criterion/criterion.h>

#include "control/store_call_limiter.h"
#include "control/table_distributor.h"
#include "control/watcher_choice.h"

using namespace limpetlever;
using namespace std::chrono_literals;

// Guards against a host that starts during an outage of the key-value service and serves with an
// old table, or refuses work for hours although its peers have the table.
Test(table_distributor, start_during_a_store_outage) {
  instant now(1s);
  table_distributor distributor(1);
  distributor.SetPeers({"a", "b", "c"});
  cr_assert(distributor.Advance(now).size() == 4);
  distributor.OnStoreReadResult(std::nullopt, now);
  distributor.OnPullResult("a", 7, now);
  cr_assert(!distributor.IsReady());  // b may have a newer version
  distributor.OnPullResult("b", 9, now);
  cr_assert(!distributor.IsReady());
  distributor.Advance(now + 600ms);  // c never answers
  cr_assert(distributor.IsReady() && distributor.version() == 9);

  table_distributor without_peers(1);
  for (int second = 0; second < 7200; ++second) {
    without_peers.Advance(now + std::chrono::seconds(second));
    without_peers.OnStoreReadResult(std::nullopt, now);
  }
  cr_assert(!without_peers.IsReady());
}

// Guards against an older table replacing a newer one, and against a version being pushed twice.
Test(table_distributor, only_newer_versions_are_adopted_and_pushed_once) {
  const instant now(1s);
  table_distributor distributor(1);
  distributor.SetPeers({"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"});
  distributor.OnStoreReadResult(5, now);
  cr_assert(distributor.Advance(now).size() == 8);
  cr_assert(!distributor.AdoptIfNewer(4, now) && !distributor.AdoptIfNewer(5, now));
  cr_assert(distributor.Advance(now).empty());
  distributor.OnPeerVersion("a", 6, now);
  const auto pulls = distributor.Advance(now);
  cr_assert(pulls.size() == 1 && pulls[0].kind == distribution_action::action_kind::pull);
}

// Guards against hosts that all call at once when the key-value service is available again, and
// against a second call of a kind while the first is in flight.
Test(store_call_limiter, hosts_retry_at_different_times) {
  int in_first_tenth = 0;
  for (std::uint64_t host = 0; host < 1000; ++host) {
    store_call_limiter limiter(host);
    instant now(1s);
    for (int i = 0; i < 12; ++i) {
      cr_assert(limiter.TryStart(call_kind::read_view, now));
      cr_assert(!limiter.TryStart(call_kind::read_view, now));
      limiter.Finish(call_kind::read_view, false, now);
      const duration wait = *limiter.EarliestStart(call_kind::read_view) - now;
      cr_assert(wait >= 50ms && wait <= 5s);
      now += wait;
    }
    in_first_tenth += now - instant(1s) < 30s ? 0 : now.time_since_epoch() % 1s < 100ms ? 1 : 0;
  }
  cr_assert(in_first_tenth < 200, "%d of 1000 in one tenth of a second", in_first_tenth);
}

// Guards against every host watching the service, and against a data centre that is left without
// watchers after one has crashed.
Test(watcher_choice, two_live_hosts_watch) {
  std::vector<member> members;
  for (int i = 0; i < 20; ++i) {
    members.push_back({.name = "h" + std::to_string(i), .data_centre = i < 10 ? "a" : "b"});
  }
  const auto before = ChooseWatchers(members, "a");
  cr_assert(before.size() == 2);
  for (member& host : members) {
    if (host.name == before[0]) {
      host.state = member_state::dead;
    }
  }
  const auto after = ChooseWatchers(members, "a");
  cr_assert(after.size() == 2 && after[0] == before[1]);
  cr_assert(IsWatcher(members, "a", after[1]) && !IsWatcher(members, "b", after[1]));
}
