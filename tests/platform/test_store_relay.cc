#include <criterion/criterion.h>

#include <map>
#include <string>

#include "loop_fixture.h"
#include "net/socket.h"
#include "platform/store_relay.h"
#include "platform/store_watcher.h"

using namespace limpetlever;
using platform::platform_store;
using platform::store_item;

namespace {

/** Records the values that a watcher reports, and passes what it reads to a relay, if any. */
class recorder : public platform::store_watcher::handler {
 public:
  explicit recorder(platform::store_relay* relay = nullptr) : relay_(relay) {}

  void OnItemRead(const store_item& item) override {
    if (relay_ != nullptr) {
      relay_->Apply(item);
    }
  }
  void OnAnswerApplied() override {}
  void OnCaughtUp() override {}
  void OnItemChanged(const store_item& item) override {
    if (item.is_removed) {
      values.erase(item.key);
    } else {
      values[item.key] = item.value;
    }
  }
  void OnLoaded(std::int64_t revision) override {
    ++loads;
    if (relay_ != nullptr) {
      relay_->SetLoaded(revision);
    }
  }
  void OnRevision(std::int64_t revision) override {
    if (relay_ != nullptr) {
      relay_->SetRevision(revision);
    }
  }
  void OnCallFailed(int status) override { last_failure = status; }
  void OnStoreLost(int) override {
    if (relay_ != nullptr) {
      relay_->SetSourceReachable(false);
    }
  }
  void OnAnswered(duration) override {}
  void OnStoreRegained(duration) override {
    if (relay_ != nullptr) {
      relay_->SetSourceReachable(true);
    }
  }
  void OnWatchReplaced(std::int64_t) override {}
  void OnLoadRefused(std::int64_t) override {}
  void OnRevisionsRestarted() override {}
  void OnHistoryLost(std::int64_t) override { ++histories_lost; }

  std::map<std::string, std::string> values;
  int loads = 0;
  int last_failure = -1;
  int histories_lost = 0;

 private:
  platform::store_relay* relay_;
};

/** The store, a host that relays it, and a host that follows the relay. */
struct relay_fixture : loop_fixture {
  relay_fixture()
      : relay(loop, ListenOnFreePort(relay_address)),
        relay_recorded(&relay),
        relay_watcher(loop, store.address(), counts, 1, relay_recorded),
        follower(loop, relay_address, counts, 2, recorded) {}

  void StartBoth() {
    relay.SetEnabled(true);
    relay_watcher.Start();
    RunUntil([&] { return relay_recorded.loads == 1; });
    follower.Start();
    RunUntil([&] { return recorded.loads == 1; });
  }

  socket_address relay_address;
  platform::store_relay relay;
  recorder relay_recorded;
  recorder recorded;
  platform::store_watcher relay_watcher;
  platform::store_watcher follower;
};

}  // namespace

// Guards against changes and removals that are lost between the store and a follower of a relay,
// and against calls of followers to the store.
Test(store_relay, a_follower_sees_what_the_store_holds) {
  relay_fixture fixture;
  for (int i = 0; i < 130; ++i) {
    fixture.store.Write("key" + std::to_string(i), "v");
  }
  fixture.StartBoth();
  cr_assert(fixture.recorded.values.size() == 130);
  const int reads = fixture.store.CallCount("/kv-range");
  fixture.store.Write("key5", "w");
  fixture.store.Remove("key6");
  fixture.RunUntil([&] {
    return fixture.recorded.values.size() == 129 && fixture.recorded.values["key5"] == "w";
  });
  cr_assert(fixture.store.CallCount("/kv-range") == reads);
  cr_assert(fixture.follower.revision() == fixture.store.revision());
}

// Guards against followers that wait at a relay which has lost the store and so gets no changes:
// the relay must refuse their calls, so that they use another source.
Test(store_relay, a_relay_without_the_store_refuses_calls) {
  relay_fixture fixture;
  fixture.StartBoth();
  fixture.store.SetMode(platform_store::mode_type::busy);
  fixture.relay_watcher.RestartWatch();
  fixture.RunUntil([&] { return fixture.recorded.last_failure == 503; });
  fixture.store.SetMode(platform_store::mode_type::normal);
  fixture.store.Write("a", "1");
  fixture.follower.SetSource(fixture.store.address(), false);
  fixture.RunUntil([&] { return fixture.recorded.values.contains("a"); });
  cr_assert(fixture.recorded.loads == 1,
            "the follower must continue from its revision at the other source");
}

// Guards against removals that a follower misses when its relay no longer has the history since the
// follower's revision.
Test(store_relay, a_follower_that_is_too_far_behind_reads_everything) {
  relay_fixture fixture;
  fixture.store.Write("removed", "1");
  fixture.StartBoth();
  fixture.follower.SetSource({.ip = "127.0.0.1", .port = 1}, true);
  fixture.store.Remove("removed");
  // More than the history holds.
  const std::string large(512 * 1024, 'x');
  for (int i = 0; i < 4; ++i) {
    fixture.store.Write("large" + std::to_string(i), large);
  }
  fixture.RunUntil([&] { return fixture.relay_watcher.revision() == fixture.store.revision(); });
  fixture.follower.SetSource(fixture.relay_address, true);
  fixture.RunUntil([&] { return fixture.recorded.loads == 2; });
  cr_assert(fixture.recorded.histories_lost == 1 && !fixture.recorded.values.contains("removed"));
  for (int i = 0; i < 4; ++i) {
    cr_assert(fixture.recorded.values["large" + std::to_string(i)] == large);
  }
}

// Guards against a new relay that serves an incomplete copy, without the items that the host read
// before it became a relay.
Test(store_relay, a_new_relay_serves_after_it_has_read_everything) {
  relay_fixture fixture;
  fixture.store.Write("old", "1");
  fixture.relay_watcher.Start();
  fixture.RunUntil([&] { return fixture.relay_recorded.loads == 1; });
  fixture.follower.Start();
  fixture.RunUntil([&] { return fixture.recorded.last_failure == 503; });
  fixture.relay.SetEnabled(true);
  fixture.relay_watcher.Reload();
  fixture.RunUntil([&] { return fixture.recorded.loads == 1; });
  cr_assert(fixture.recorded.values.contains("old"));
}

// Guards against a link of a relay that is filled by a large configuration: each follower got it as
// base64 text, and the last one of many too late.
Test(store_relay, a_large_configuration_is_sent_compressed) {
  relay_fixture fixture;
  std::string config;
  for (int i = 0; i < 1000; ++i) {
    config +=
        R"({"name":"r-)" + std::to_string(i * 7919) + R"(","host":"h.example","service":"s"},)";
  }
  fixture.StartBoth();
  fixture.follower.SetSource(fixture.relay_address, true);
  const std::size_t before = fixture.relay.reads().answer_bytes();
  fixture.store.Write("config", config);
  fixture.RunUntil([&] { return fixture.recorded.values["config"] == config; });
  const std::size_t sent = fixture.relay.reads().answer_bytes() - before;
  cr_assert(sent * 4 < config.size(), "%zu bytes for %zu", sent, config.size());
}

// Guards against an answer from an earlier state of the copy, kept to be sent to several followers.
Test(store_relay, an_encoded_answer_is_not_sent_after_a_change) {
  relay_fixture fixture;
  fixture.store.Write("a", "1");
  fixture.StartBoth();
  fixture.follower.SetSource(fixture.relay_address, true);
  for (int i = 2; i < 6; ++i) {
    fixture.store.Write("a", std::to_string(i));
    fixture.RunUntil([&] { return fixture.relay_recorded.values["a"] == std::to_string(i); });
    fixture.follower.Reload();
    fixture.RunUntil([&] { return fixture.recorded.loads == i; });
    cr_assert(fixture.recorded.values["a"] == std::to_string(i));
  }
}
