#include <criterion/criterion.h>

#include "control/call_pacer.h"
#include "control/table_spread.h"
#include "control/watcher_choice.h"

using namespace limpetlever;
using namespace std::chrono_literals;

// Guards against a host that starts during an outage of the key-value service and serves with an
// old table, or refuses work for hours although its peers have the table.
Test(table_spread, start_during_a_store_outage) {
  instant now(1s);
  table_spread spread(1);
  spread.SetPeers({"a", "b", "c"});
  cr_assert(spread.Advance(now).size() == 4);
  spread.OnStoreAnswer(std::nullopt, now);
  spread.OnPeerAnswer("a", 7, now);
  cr_assert(!spread.IsReady());  // b may have a newer version
  spread.OnPeerAnswer("b", 9, now);
  cr_assert(!spread.IsReady());
  spread.Advance(now + 600ms);  // c never answers
  cr_assert(spread.IsReady() && spread.version() == 9);

  table_spread without_peers(1);
  for (int second = 0; second < 7200; ++second) {
    without_peers.Advance(now + std::chrono::seconds(second));
    without_peers.OnStoreAnswer(std::nullopt, now);
  }
  cr_assert(!without_peers.IsReady());
}

// Guards against an older table replacing a newer one, and against a version being pushed twice.
Test(table_spread, only_newer_versions_are_adopted_and_pushed_once) {
  const instant now(1s);
  table_spread spread(1);
  spread.SetPeers({"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"});
  spread.OnStoreAnswer(5, now);
  cr_assert(spread.Advance(now).size() == 8);
  cr_assert(!spread.Offer(4, now) && !spread.Offer(5, now));
  cr_assert(spread.Advance(now).empty());
  spread.OnPeerVersion("a", 6, now);
  const auto pulls = spread.Advance(now);
  cr_assert(pulls.size() == 1 && pulls[0].kind == spread_action::action_kind::pull);
}

// Guards against hosts that all call at once when the key-value service is available again, and
// against a second call of a kind while the first is in flight.
Test(call_pacer, hosts_retry_at_different_times) {
  int in_first_tenth = 0;
  for (std::uint64_t host = 0; host < 1000; ++host) {
    call_pacer pacer(host);
    instant now(1s);
    for (int i = 0; i < 12; ++i) {
      cr_assert(pacer.TryStart(call_kind::read_view, now));
      cr_assert(!pacer.TryStart(call_kind::read_view, now));
      pacer.Finish(call_kind::read_view, false, now);
      const duration wait = *pacer.NextTimer(call_kind::read_view) - now;
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
