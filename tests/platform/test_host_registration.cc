#include <criterion/criterion.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/route_table.h"
#include "control/control_listener.h"
#include "loop_fixture.h"
#include "platform/host_registration.h"
#include "replicas/replica.h"

using namespace limpetlever;
using platform::platform_store;

namespace {

/** Counts the events that the registration reports. */
class counting_sink : public control_listener {
 public:
  void OnRouteTable(std::shared_ptr<const route_table>) override {}
  void OnRouteTableRefused(const failure&) override {}
  void OnReplicaChanged(const replica&) override {}
  void OnReplicaRemoved(const std::string&) override {}
  void OnReplicaRemovalDelayed(const std::string&, duration) override {}
  void OnReplicaRefused(const std::string&, const failure&) override {}
  void OnCaughtUp() override {}
  void OnEntryRefused(const std::string&, const failure&) override {}
  void OnDataCentresTakenOut(std::set<std::string>) override {}
  void OnHostsChanged(const std::vector<gossip_entry>&) override {}
  void OnCrashReported(const gossip_entry&) override {}
  void OnStoreLost(int) override {}
  void OnStoreRegained(duration) override {}
  void OnSourceFailed(int) override {}
  void OnWatchReplaced(std::int64_t, std::int64_t) override {}
  void OnLoadRefused(std::int64_t, std::int64_t) override {}
  void OnStoreHistoryBegun(std::int64_t, std::int64_t) override {}
  void OnStoreHistoryLost(std::int64_t) override {}
  void OnStoreResponsive() override { ++silences_ended; }
  void OnRegistered(std::int64_t) override { ++registered; }

  int silences_ended = 0;
  int registered = 0;
};

struct registration_fixture : loop_fixture {
  registration_fixture() : registration(loop, store.address(), counts, 1, sink) {
    registration.Start("h1", "text");
    RunUntil([this] { return sink.registered == 1; });
  }

  bool IsListed() const { return store.items().contains("hosts/h1"); }

  counting_sink sink;
  platform::host_registration registration;
};

}  // namespace

// Guards against a host that other hosts cannot find, and one that stays listed after it has left.
Test(host_registration, a_host_is_listed_until_it_leaves) {
  registration_fixture fixture;
  cr_assert(fixture.store.items().at("hosts/h1").value == "text");
  fixture.registration.ReplaceValue("other");
  fixture.RunUntil([&] { return fixture.store.items().at("hosts/h1").value == "other"; });
  fixture.registration.Leave();
  fixture.RunUntil([&] { return !fixture.IsListed(); });
}

// Guards against a host that stays unlisted after the store has removed its key.
Test(host_registration, a_revoked_entry_is_written_again) {
  registration_fixture fixture;
  fixture.store.RevokeLeases();
  cr_assert(!fixture.IsListed());
  fixture.registration.RewriteMissingEntry();
  fixture.RunUntil([&] { return fixture.IsListed(); });
}

// Guards against a host that does not notice that its lease ended during an outage.
Test(host_registration, a_lease_that_ended_is_granted_again) {
  registration_fixture fixture;
  fixture.store.SetMode(platform_store::mode_type::busy);
  fixture.store.RevokeLeases();
  fixture.store.SetMode(platform_store::mode_type::normal);
  fixture.RunUntil([&] { return fixture.IsListed(); });
}

// Guards against a watch that was sent while the store answered nothing and is never restarted:
// such hosts applied a configuration only 3.5 s after its confirmation (deaf-watches, seed
// 376511570744).
Test(host_registration, an_answer_after_unanswered_calls_is_reported) {
  registration_fixture fixture;
  const int calls = fixture.store.CallCount("/kv-keep");
  fixture.store.SetMode(platform_store::mode_type::silent);
  fixture.RunUntil([&] { return fixture.store.CallCount("/kv-keep") >= calls + 2; });
  cr_assert(fixture.sink.silences_ended == 0);
  fixture.store.SetMode(platform_store::mode_type::normal);
  fixture.RunUntil([&] { return fixture.sink.silences_ended == 1; });
}

// Guards against a whole fleet that calls a store which is away several times a second.
Test(host_registration, a_follower_calls_a_silent_store_rarely) {
  registration_fixture fixture;
  fixture.registration.SetFollowing(true);
  cr_assert(fixture.registration.IsStoreAnswering());
  fixture.store.SetMode(platform_store::mode_type::busy);
  fixture.RunUntil([&] { return !fixture.registration.IsStoreAnswering(); });
  const int calls = fixture.store.CallCount("/kv-keep");
  const instant start = fixture.loop.Now();
  fixture.RunUntil([&] { return fixture.loop.Now() - start >= std::chrono::seconds(5); });
  cr_assert(fixture.store.CallCount("/kv-keep") - calls <= 8);
  fixture.store.SetMode(platform_store::mode_type::normal);
  fixture.RunUntil([&] { return fixture.registration.IsStoreAnswering(); });
}
