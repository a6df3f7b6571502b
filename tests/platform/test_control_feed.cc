#include <criterion/criterion.h>

#include <chrono>
#include <optional>
#include <string>

#include "feed_fixture.h"

using namespace limpetlever;
using platform::platform_store;

namespace {

// Longer than the outage in which the entry of a live server can lapse.
constexpr duration kOutage = std::chrono::milliseconds(2600);
// A removal is delayed by 2.3 s. This long after a call that is refused in the second second, it
// has been applied, unless the call has prolonged the delay.
constexpr duration kRestOfDelay = std::chrono::milliseconds(1800);

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
