#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <string>

#include "loop_fixture.h"
#include "platform/store_watcher.h"
#include "slow_link.h"

using namespace limpetlever;
using platform::platform_store;

namespace {

/** Records what a watcher reports. */
class recorder : public platform::store_watcher::handler {
 public:
  void OnItemChanged(const platform::store_item& item) override {
    if (item.is_removed) {
      values.erase(item.key);
    } else {
      values[item.key] = item.value;
    }
  }
  void OnItemRead(const platform::store_item&) override {}
  void OnAnswerApplied() override {}
  void OnCaughtUp() override {}
  void OnLoaded(std::int64_t) override { ++loads; }
  void OnRevision(std::int64_t) override {}
  void OnCallFailed(int) override {
    if (on_failure) {
      on_failure();
    }
  }
  void OnStoreLost(int) override { ++stores_lost; }
  void OnAnswered(duration) override {}
  void OnStoreRegained(duration) override { ++stores_regained; }
  void OnWatchReplaced(std::int64_t) override { ++watches_replaced; }
  void OnLoadRefused(std::int64_t) override {}
  void OnRevisionsRestarted() override {}
  void OnHistoryLost(std::int64_t) override { ++histories_lost; }

  std::map<std::string, std::string> values;
  int loads = 0;
  int stores_lost = 0;
  int stores_regained = 0;
  int histories_lost = 0;
  int watches_replaced = 0;
  std::function<void()> on_failure;
};

// Four times the time limit of a call to the store.
constexpr std::size_t kSlowBytesPerSecond = 100 * 1024;
constexpr std::size_t kLargeValueBytes = 300 * 1024;

struct watcher_fixture : loop_fixture {
  watcher_fixture() : watcher(loop, store.address(), counts, 1, recorded) {}

  recorder recorded;
  platform::store_watcher watcher;
};

}  // namespace

// Guards against keys that are lost between pages, or between the pages and the watch.
Test(store_watcher, reads_all_pages_and_follows_changes) {
  watcher_fixture fixture;
  for (int i = 0; i < 130; ++i) {
    fixture.store.Write("key" + std::to_string(i), "v");
  }
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.recorded.loads == 1; });
  cr_assert(fixture.recorded.values.size() == 130);
  fixture.store.Write("key5", "w");
  fixture.store.Remove("key6");
  fixture.RunUntil([&] {
    return fixture.recorded.values.size() == 129 && fixture.recorded.values["key5"] == "w";
  });
}

// Guards against a host that gets no changes after an outage, and against a second full read.
Test(store_watcher, continues_after_an_outage) {
  watcher_fixture fixture;
  fixture.store.Write("a", "1");
  fixture.store.SetMode(platform_store::mode_type::busy);
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.recorded.stores_lost == 1; });
  fixture.store.SetMode(platform_store::mode_type::normal);
  fixture.RunUntil([&] { return fixture.recorded.loads == 1; });
  cr_assert(fixture.recorded.stores_regained == 1 && fixture.recorded.values["a"] == "1");
}

// Guards against a watch that was sent while the store answered nothing: it is never answered, and
// no change is seen until its wait has ended.
Test(store_watcher, an_unanswered_watch_is_restarted) {
  watcher_fixture fixture;
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.recorded.loads == 1; });
  fixture.store.SetMode(platform_store::mode_type::silent);
  fixture.store.Write("a", "1");
  fixture.store.SetMode(platform_store::mode_type::normal);
  fixture.watcher.RestartWatch();
  fixture.RunUntil([&] { return fixture.recorded.values.contains("a"); });
  cr_assert(fixture.recorded.loads == 1, "the watch must continue from the last revision");
}

// Guards against a host that stays seconds behind after an outage with many changes, because it
// pauses between the pages: 1,200 changes come in three pages.
Test(store_watcher, pages_of_changes_follow_without_a_pause) {
  watcher_fixture fixture;
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.recorded.loads == 1; });
  fixture.store.SetMode(platform_store::mode_type::silent);
  constexpr int kChanges = 1200;
  for (int i = 0; i < kChanges; ++i) {
    fixture.store.Write("key" + std::to_string(i), "v");
  }
  fixture.store.SetMode(platform_store::mode_type::normal);
  fixture.watcher.RestartWatch();
  fixture.RunUntil([&] { return fixture.recorded.values.size() == kChanges; });
  cr_assert(platform::store_watcher::PauseBeforeNextWatch(500) == duration::zero());
  cr_assert(platform::store_watcher::PauseBeforeNextWatch(0) == duration::zero());
  cr_assert(platform::store_watcher::PauseBeforeNextWatch(3) > duration::zero());
}

// Guards against two concurrent loads with mixed pages, when a host becomes a relay just as a call
// to the store fails.
Test(store_watcher, a_load_that_begins_on_a_failure_is_the_only_one) {
  watcher_fixture fixture;
  fixture.store.SetMode(platform_store::mode_type::busy);
  fixture.recorded.on_failure = [&] {
    fixture.store.SetMode(platform_store::mode_type::normal);
    fixture.watcher.Reload();
  };
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.recorded.loads == 1; });
  fixture.store.Write("a", "1");
  fixture.RunUntil([&] { return fixture.recorded.values.contains("a"); });
  cr_assert(fixture.recorded.loads == 1);
  cr_assert(fixture.store.CallCount("/kv-range") == 2, "one call that failed and one load");
}

// Guards against a watch that is restarted again and again before its answer can arrive, because
// other hosts know newer revisions: on a link of low bandwidth a page takes a second.
Test(store_watcher, a_recent_watch_is_not_restarted) {
  watcher_fixture fixture;
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.store.CallCount("/kv-watch") == 1; });
  fixture.watcher.RestartStaleWatch();
  fixture.store.Write("a", "1");
  fixture.RunUntil([&] { return fixture.recorded.values.contains("a"); });
  cr_assert(fixture.store.CallCount("/kv-watch") == 1);
}

// Guards against a host that waits for another second before it renews a watch that is lost,
// because the watch was too recent when other hosts were found to be ahead.
Test(store_watcher, a_recent_watch_is_restarted_once_it_has_waited_long_enough) {
  watcher_fixture fixture;
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.recorded.loads == 1; });
  fixture.store.SetMode(platform_store::mode_type::silent);
  fixture.RunUntil([&] { return fixture.store.CallCount("/kv-watch") == 1; });
  fixture.store.SetMode(platform_store::mode_type::normal);
  fixture.store.Write("a", "1");
  const instant start = fixture.loop.UpdateNow();
  fixture.watcher.RestartStaleWatch();
  fixture.RunUntil([&] { return fixture.recorded.values.contains("a"); });
  cr_assert(fixture.loop.Now() - start < std::chrono::milliseconds(2500));
  cr_assert(fixture.store.CallCount("/kv-watch") == 2);
}

// Guards against a load that never ends: its pages take longer than the time limit of a call.
Test(store_watcher, a_load_over_a_slow_link_is_not_abandoned) {
  loop_fixture fixture;
  recorder recorded;
  slow_link link(fixture.loop, fixture.store.address(), kSlowBytesPerSecond);
  platform::store_watcher watcher(fixture.loop, link.address(), fixture.counts, 1, recorded);
  fixture.store.Write("large", std::string(kLargeValueBytes, 'x'));
  watcher.Start();
  fixture.RunUntil([&] { return recorded.loads == 1; });
  cr_assert(fixture.store.CallCount("/kv-range") == 1 && recorded.stores_lost == 0);
}

// Guards against removals that are missed when the store has dropped its history.
Test(store_watcher, reads_everything_again_after_lost_history) {
  watcher_fixture fixture;
  fixture.store.Write("kept", "1");
  fixture.store.Write("removed", "1");
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.recorded.loads == 1; });
  fixture.store.SetMode(platform_store::mode_type::silent);
  fixture.watcher.RestartWatch();
  fixture.store.Remove("removed");
  fixture.store.Write("new", "1");
  fixture.store.DropHistory();
  fixture.store.SetMode(platform_store::mode_type::normal);
  fixture.watcher.RestartWatch();
  fixture.RunUntil([&] { return fixture.recorded.loads == 2; });
  cr_assert(fixture.recorded.histories_lost == 1);
  cr_assert(fixture.recorded.values.size() == 2 && fixture.recorded.values.contains("new"));
}

// Guards against one call for each of many changes in quick succession.
Test(store_watcher, a_burst_of_changes_costs_few_calls) {
  watcher_fixture fixture;
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.recorded.loads == 1; });
  for (int i = 0; i < 100; ++i) {
    fixture.store.Write("k", std::to_string(i));
  }
  fixture.RunUntil([&] { return fixture.recorded.values["k"] == "99"; });
  cr_assert(fixture.store.CallCount("/kv-watch") <= 5);
}

// Guards against a removed key that comes back: a host reads everything again, from a relay that is
// behind and still holds the key.
Test(store_watcher, a_load_from_an_older_copy_brings_no_removed_key_back) {
  watcher_fixture fixture;
  fixture.store.Write("kept", "1");
  fixture.store.Write("removed", "1");
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.recorded.loads == 1; });
  platform_store behind(fixture.loop);
  behind.Write("kept", "1");
  behind.Write("removed", "1");
  fixture.store.Remove("removed");
  fixture.RunUntil([&] { return !fixture.recorded.values.contains("removed"); });
  bool has_failed = false;
  fixture.recorded.on_failure = [&] {
    has_failed = true;
    fixture.watcher.SetSource(fixture.store.address(), false);
  };
  fixture.watcher.SetSource(behind.address(), true);
  fixture.watcher.Reload();
  fixture.RunUntil([&] { return fixture.recorded.loads == 2; });
  cr_assert(has_failed, "the load from the older copy was accepted");
  cr_assert(fixture.recorded.values.size() == 1 && fixture.recorded.values.contains("kept"));
}

// Guards against a host that no longer follows the store: the changes since its revision exceed the
// size limit of an answer, so that each watch fails in the same way.
Test(store_watcher, reads_everything_again_if_the_changes_are_too_large) {
  constexpr std::size_t kLargestValue = 1024 * 1024;
  watcher_fixture fixture;
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.recorded.loads == 1; });
  fixture.store.SetMode(platform_store::mode_type::silent);
  for (int i = 0; i < 8; ++i) {
    fixture.store.Write("k", std::string(kLargestValue, 'x'));
  }
  fixture.store.Write("k", "small");
  fixture.store.SetMode(platform_store::mode_type::normal);
  fixture.watcher.RestartWatch();
  fixture.RunUntil([&] { return fixture.recorded.values["k"] == "small"; });
}
