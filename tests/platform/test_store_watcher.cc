#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <string>

#include "loop_fixture.h"
#include "platform/store_watcher.h"

using namespace limpetlever;
using platform::platform_store;

namespace {

/** Keeps what a watcher reports, as a user of it would. */
class recorder : public platform::store_watcher::handler {
 public:
  void OnItem(const platform::store_item& item) override {
    if (item.is_removed) {
      values.erase(item.key);
    } else {
      values[item.key] = item.value;
    }
  }
  void OnRead(const platform::store_item&) override {}
  void OnLoaded(std::int64_t) override { ++loads; }
  void OnRevision(std::int64_t) override {}
  void OnCallFailed(int) override {
    if (on_failure) {
      on_failure();
    }
  }
  void OnStoreLost(int) override { ++losses; }
  void OnStoreRegained(duration) override { ++returns; }
  void OnHistoryLost(std::int64_t) override { ++histories_lost; }

  std::map<std::string, std::string> values;
  int loads = 0;
  int losses = 0;
  int returns = 0;
  int histories_lost = 0;
  std::function<void()> on_failure;
};

struct watcher_fixture : loop_fixture {
  watcher_fixture() : watcher(loop, store.address(), 1, seen) {}

  recorder seen;
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
  fixture.RunUntil([&] { return fixture.seen.loads == 1; });
  cr_assert(fixture.seen.values.size() == 130);
  fixture.store.Write("key5", "w");
  fixture.store.Remove("key6");
  fixture.RunUntil(
      [&] { return fixture.seen.values.size() == 129 && fixture.seen.values["key5"] == "w"; });
}

// Guards against a host that stays deaf after an outage, and against a second full read.
Test(store_watcher, goes_on_after_an_outage) {
  watcher_fixture fixture;
  fixture.store.Write("a", "1");
  fixture.store.SetMode(platform_store::mode_type::busy);
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.seen.losses == 1; });
  fixture.store.SetMode(platform_store::mode_type::normal);
  fixture.RunUntil([&] { return fixture.seen.loads == 1; });
  cr_assert(fixture.seen.returns == 1 && fixture.seen.values["a"] == "1");
}

// Guards against a watch that was sent while the store was silent, is never answered, and hides
// every change until its wait has ended.
Test(store_watcher, a_deaf_watch_is_renewed) {
  watcher_fixture fixture;
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.seen.loads == 1; });
  fixture.store.SetMode(platform_store::mode_type::silent);
  fixture.store.Write("a", "1");
  fixture.store.SetMode(platform_store::mode_type::normal);
  fixture.watcher.Refresh();
  fixture.RunUntil([&] { return fixture.seen.values.contains("a"); });
  cr_assert(fixture.seen.loads == 1, "the watch goes on from the last revision");
}

// Guards against a host that returns after an outage with many changes and is seconds behind,
// because it pauses between the pages of one answer: 1,200 changes come in three pages.
Test(store_watcher, pages_of_changes_follow_without_a_pause) {
  watcher_fixture fixture;
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.seen.loads == 1; });
  fixture.store.SetMode(platform_store::mode_type::silent);
  constexpr int kChanges = 1200;
  for (int i = 0; i < kChanges; ++i) {
    fixture.store.Write("key" + std::to_string(i), "v");
  }
  fixture.store.SetMode(platform_store::mode_type::normal);
  fixture.watcher.Refresh();
  fixture.RunUntil([&] { return fixture.seen.values.size() == kChanges; });
  cr_assert(platform::store_watcher::PauseAfter(500) == duration::zero());
  cr_assert(platform::store_watcher::PauseAfter(0) == duration::zero());
  cr_assert(platform::store_watcher::PauseAfter(3) > duration::zero());
}

// Guards against two loads at once, whose pages mix, when a host becomes a relay just as a call to
// the store fails.
Test(store_watcher, a_load_that_begins_on_a_failure_is_the_only_one) {
  watcher_fixture fixture;
  fixture.store.SetMode(platform_store::mode_type::busy);
  fixture.seen.on_failure = [&] {
    fixture.store.SetMode(platform_store::mode_type::normal);
    fixture.watcher.Reload();
  };
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.seen.loads == 1; });
  fixture.store.Write("a", "1");
  fixture.RunUntil([&] { return fixture.seen.values.contains("a"); });
  cr_assert(fixture.seen.loads == 1);
  cr_assert(fixture.store.CallsOf("/kv-range") == 2, "the one that failed and one load");
}

// Guards against a watch that is ended again and again before its answer can arrive, because other
// hosts know newer revisions: on a narrow link a page takes a second.
Test(store_watcher, a_young_watch_is_left_alone) {
  watcher_fixture fixture;
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.store.CallsOf("/kv-watch") == 1; });
  fixture.watcher.CatchUp();
  fixture.store.Write("a", "1");
  fixture.RunUntil([&] { return fixture.seen.values.contains("a"); });
  cr_assert(fixture.store.CallsOf("/kv-watch") == 1);
}

// Guards against removals that are missed when the store has forgotten its history.
Test(store_watcher, reads_everything_again_after_lost_history) {
  watcher_fixture fixture;
  fixture.store.Write("kept", "1");
  fixture.store.Write("removed", "1");
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.seen.loads == 1; });
  fixture.store.SetMode(platform_store::mode_type::silent);
  fixture.watcher.Refresh();
  fixture.store.Remove("removed");
  fixture.store.Write("new", "1");
  fixture.store.DropHistory();
  fixture.store.SetMode(platform_store::mode_type::normal);
  fixture.watcher.Refresh();
  fixture.RunUntil([&] { return fixture.seen.loads == 2; });
  cr_assert(fixture.seen.histories_lost == 1);
  cr_assert(fixture.seen.values.size() == 2 && fixture.seen.values.contains("new"));
}

// Guards against a call for each of many changes that come close together.
Test(store_watcher, a_series_of_changes_costs_few_calls) {
  watcher_fixture fixture;
  fixture.watcher.Start();
  fixture.RunUntil([&] { return fixture.seen.loads == 1; });
  for (int i = 0; i < 100; ++i) {
    fixture.store.Write("k", std::to_string(i));
  }
  fixture.RunUntil([&] { return fixture.seen.values["k"] == "99"; });
  cr_assert(fixture.store.CallsOf("/kv-watch") <= 5);
}
