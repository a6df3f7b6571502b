#include <criterion/criterion.h>

#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "control/control_listener.h"
#include "loop_fixture.h"
#include "platform/control_feed.h"
#include "replicas/replica.h"

using namespace limpetlever;
using platform::platform_store;

namespace {

constexpr const char* kServer =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"1","slots":2,)"
    R"("state":"ready","warmupLeftMs":0,"seq":1,"born":1})";
// Longer than the outage in which the entry of a live server can lapse.
constexpr duration kOutage = std::chrono::milliseconds(2600);
// A removal is delayed by 2.3 s. This long after a call that is refused in the second second, it
// has been applied, unless the call has prolonged the delay.
constexpr duration kRestOfDelay = std::chrono::milliseconds(1800);

// Within this time after the store has confirmed a change, it must be in force.
constexpr duration kChangeBound = std::chrono::seconds(3);

/** Records the replicas of a host. */
class recorder : public control_listener {
 public:
  void OnReplicaChanged(const replica& entry) override { replicas.insert(entry.id); }
  void OnReplicaRemoved(const std::string& id) override {
    replicas.erase(id);
    ++removals;
  }
  void OnReplicaRemovalDelayed(const std::string&, duration) override { ++delays; }
  void OnStoreRegained(duration) override { ++regained; }
  void OnRouteTable(std::shared_ptr<const route_table>) override {}
  void OnRouteTableRefused(const failure&) override {}
  void OnReplicaRefused(const std::string&, const failure&) override {}
  void OnEntryRefused(const std::string&, const failure&) override {}
  void OnDataCentresTakenOut(std::set<std::string>) override {}
  void OnHostsChanged(const std::vector<gossip_entry>&) override {}
  void OnCrashReported(const gossip_entry&) override {}
  void OnStoreLost(int) override {}
  void OnSourceFailed(int) override {}
  void OnWatchReplaced(std::int64_t, std::int64_t) override { ++watches_replaced; }
  void OnLoadRefused(std::int64_t, std::int64_t) override {}
  void OnStoreHistoryLost(std::int64_t) override {}
  void OnStoreResponsive() override {}
  void OnCaughtUp() override {}
  void OnRegistered(std::int64_t) override {}

  std::set<std::string> replicas;
  int removals = 0;
  int delays = 0;
  int regained = 0;
  int watches_replaced = 0;
};

struct feed_fixture : loop_fixture {
  feed_fixture()
      : feed(loop, store.address(), counts, ListenOnFreePort(relay_address), 1, recorded),
        follower(loop,
                 store.address(),
                 follower_counts,
                 ListenOnFreePort(follower_address),
                 2,
                 follower_recorded) {
    store.Write("servers/i1", kServer);
    store.Write("servers/i2", kServer);
    feed.Start();
    RunUntil([this] { return recorded.replicas.size() == 2; });
    // The first watches of a host are some seconds apart.
    RunFor(std::chrono::seconds(2));
    store.Write("other", "a change that answers the first watch");
    RunFor(std::chrono::seconds(3));
  }

  void RunFor(duration time) {
    const instant end = loop.UpdateNow() + time;
    RunUntil([this, end] { return loop.Now() >= end; });
  }

  /**
   * The host's next watch is refused, about a second after the last answer; after that the store
   * serves it again.
   */
  void RefuseOnce() {
    store.Write("other", "a change that answers the watch");
    RunFor(std::chrono::milliseconds(1000));
    const int before = recorded.regained;
    const int calls = store.CallCount("/kv-watch");
    store.SetMode(platform_store::mode_type::busy);
    feed.RestartWatch();
    RunUntil([this, calls] { return store.CallCount("/kv-watch") > calls; });
    store.SetMode(platform_store::mode_type::normal);
    store.Write("other", "another change");
    RunUntil([this, before] { return recorded.regained > before; });
  }

  /**
   * The store receives a watch of the host and never answers it: it is silent for less than a
   * second, in which the host sends nothing else.
   */
  void LoseWatch() {
    const int calls = store.CallCount("/kv-watch");
    store.Write("other", "a change that answers the watch");
    RunFor(std::chrono::milliseconds(400));
    store.SetMode(platform_store::mode_type::silent);
    RunUntil([this, calls] { return store.CallCount("/kv-watch") > calls; });
    store.SetMode(platform_store::mode_type::normal);
  }

  /** How long the host needs to learn of a server that registers now. */
  duration TimeToLearnOfServer() {
    const instant start = loop.UpdateNow();
    store.Write("servers/i3", kServer);
    RunUntil([this] { return recorded.replicas.contains("i3"); });
    return loop.Now() - start;
  }

  /** The store is away for `time`, as this host's calls show. */
  void TakeStoreAway(duration time) {
    const int before = recorded.regained;
    store.SetMode(platform_store::mode_type::busy);
    feed.RestartWatch();
    RunFor(time);
    store.Remove("servers/i1");
    store.SetMode(platform_store::mode_type::normal);
    RunUntil([this, before] { return recorded.regained > before; });
  }

  recorder recorded;
  recorder follower_recorded;
  platform::store_call_history follower_counts;
  socket_address relay_address;
  socket_address follower_address;
  platform::control_feed feed;
  platform::control_feed follower;
};

}  // namespace

// Guards against a host that goes on using removed servers because one of its calls was refused,
// though the store has served the servers all the time.
Test(control_feed, a_refused_call_delays_no_removal) {
  feed_fixture fixture;
  fixture.RefuseOnce();
  fixture.store.Remove("servers/i1");
  fixture.RunUntil([&] { return fixture.recorded.removals == 1; });
  cr_assert(fixture.recorded.delays == 0);
}

// Guards against a removal that is delayed again and again while calls of the host fail.
Test(control_feed, refused_calls_do_not_prolong_a_delay) {
  feed_fixture fixture;
  fixture.TakeStoreAway(kOutage);
  cr_assert(fixture.recorded.delays == 1);
  fixture.RefuseOnce();
  cr_assert(fixture.recorded.removals == 0);
  fixture.RunFor(kRestOfDelay);
  cr_assert(fixture.recorded.removals == 1);
}

// Guards against a host that applies no change for up to 29 s: the store was silent for less than a
// second, in which the host sent a watch and nothing else.
Test(control_feed, a_watch_that_a_short_silence_has_lost_is_replaced) {
  feed_fixture fixture;
  fixture.feed.SetDirectHosts(12);
  fixture.LoseWatch();
  cr_assert(fixture.TimeToLearnOfServer() < kChangeBound);
  cr_assert(fixture.recorded.watches_replaced == 1);
  cr_assert(fixture.recorded.regained == 0, "no call has failed");
}

// Guards against a lost watch that is not noticed because the reads that may be stale come from a
// member of the store that is behind.
Test(control_feed, a_lost_watch_is_replaced_although_stale_reads_are_behind) {
  feed_fixture fixture;
  fixture.feed.SetDirectHosts(1);
  fixture.store.SetStaleRevision(fixture.store.revision());
  fixture.LoseWatch();
  cr_assert(fixture.TimeToLearnOfServer() < kChangeBound);
}

// Guards against a watch whose answer was lost, although the store had received it: it waits for
// changes while the connection is of no use any more.
Test(control_feed, a_watch_whose_answer_is_lost_is_replaced) {
  feed_fixture fixture;
  fixture.feed.SetDirectHosts(12);
  fixture.RunFor(std::chrono::seconds(2));
  fixture.store.SetMode(platform_store::mode_type::silent);
  const instant start = fixture.loop.UpdateNow();
  fixture.store.DropWaiting();
  fixture.store.Write("servers/i3", kServer);
  fixture.store.SetMode(platform_store::mode_type::normal);
  fixture.RunUntil([&] { return fixture.recorded.replicas.contains("i3"); });
  cr_assert(fixture.loop.Now() - start < kChangeBound);
}

// Guards against calls without end: a watch that works must not be replaced because of the changes
// that it is about to report, nor because a read was answered by a member that is behind.
Test(control_feed, a_watch_that_works_is_not_replaced) {
  feed_fixture fixture;
  fixture.feed.SetDirectHosts(1);
  for (int i = 0; i < 40; ++i) {
    fixture.store.Write("other", std::to_string(i));
    fixture.RunFor(std::chrono::milliseconds(i * 10));
  }
  fixture.store.SetStaleRevision(1);
  fixture.RunFor(std::chrono::seconds(4));
  cr_assert(fixture.recorded.watches_replaced == 0);
}

// Guards against a whole fleet that asks the store: a host that follows another one does not.
Test(control_feed, a_follower_does_not_ask_for_the_revision) {
  feed_fixture fixture;
  fixture.feed.SetRelaying(true);
  fixture.RunFor(std::chrono::seconds(3));
  fixture.feed.SetSource(socket_address{.ip = "127.0.0.1", .port = 1});
  fixture.RunFor(std::chrono::milliseconds(100));
  const int calls = fixture.store.CallCount("/kv-range");
  fixture.RunFor(std::chrono::seconds(4));
  cr_assert(fixture.store.CallCount("/kv-range") == calls);
}

// Guards against live servers that a host stops using because their entries lapsed in an outage.
Test(control_feed, a_server_that_registers_again_after_an_outage_stays_in_use) {
  feed_fixture fixture;
  fixture.TakeStoreAway(kOutage);
  cr_assert(fixture.recorded.delays == 1);
  fixture.RunFor(std::chrono::milliseconds(1500));
  fixture.store.Write("servers/i1", kServer);
  fixture.RunFor(std::chrono::seconds(2));
  cr_assert(fixture.recorded.removals == 0 && fixture.recorded.replicas.size() == 2);
}

// Guards against a host that follows another one and delays a removal, or does not, unlike the host
// that has seen the outage.
Test(control_feed, a_follower_delays_removals_as_its_relay_does) {
  feed_fixture fixture;
  fixture.feed.SetRelaying(true);
  fixture.follower.SetSource(fixture.relay_address);
  fixture.follower.Start();
  fixture.RunUntil([&] { return fixture.follower_recorded.replicas.size() == 2; });
  fixture.RunFor(std::chrono::seconds(4));
  fixture.TakeStoreAway(kOutage);
  fixture.RunUntil([&] { return fixture.follower_recorded.delays == 1; });
  fixture.RunUntil([&] { return fixture.follower_recorded.removals == 1; });
  // The relay refuses its followers when it begins to follow another host itself.
  fixture.feed.SetSource(socket_address{.ip = "127.0.0.1", .port = 1});
  fixture.RunFor(std::chrono::milliseconds(300));
  fixture.feed.SetSource(std::nullopt);
  fixture.store.Remove("servers/i2");
  fixture.RunUntil([&] { return fixture.follower_recorded.removals == 2; });
  cr_assert(fixture.follower_recorded.delays == 1);
}
