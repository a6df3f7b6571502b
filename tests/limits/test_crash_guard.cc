#include <criterion/criterion.h>

#include "limits/crash_guard.h"

using namespace limpetlever;

namespace {

constexpr wall_time kNow{std::chrono::hours(1)};

}  // namespace

// Guards against blocking a request because one server crashed twice, and against letting it reach
// a third server after it crashed two.
Test(crash_guard, two_marks_on_different_servers_block_for_ten_minutes) {
  crash_guard guard(100);
  guard.OnServerCrash("a", {7}, kNow);
  guard.OnServerCrash("a", {7}, kNow);
  cr_assert(!guard.IsBlocked(7, kNow));
  guard.OnServerCrash("b", {7, 8}, kNow);
  cr_assert(guard.IsBlocked(7, kNow) && !guard.IsBlocked(8, kNow));
  cr_assert(!guard.IsBlocked(7, kNow + std::chrono::minutes(10)));
}

// Guards against different states on hosts that get the same reports in another order or twice.
Test(crash_guard, updates_merge_in_any_order) {
  crash_guard a(100);
  crash_guard b(100);
  crash_guard c(100);
  const auto first = a.OnServerCrash("a", {7}, kNow);
  const auto second = b.OnServerCrash("b", {7}, kNow);
  cr_assert(first.size() == 1 && second.size() == 1);
  for (const crash_report& report : {second[0], first[0], second[0]}) {
    cr_assert(ParseCrashReport(ToGossipEntry(report)) == report);
    c.Merge(report, kNow);
  }
  cr_assert(c.IsBlocked(7, kNow));
  const auto done = c.OnCompleted(7, kNow);
  cr_assert(done && !c.IsBlocked(7, kNow));
  a.Merge(second[0], kNow);
  cr_assert(a.IsBlocked(7, kNow));
  a.Merge(*ParseCrashReport(ToGossipEntry(*done)), kNow);
  a.Merge(second[0], kNow);
  cr_assert(!a.IsBlocked(7, kNow), "a request that has completed is blocked");
  cr_assert(!ParseCrashReport({.key = "crash/xyz", .value = "mark"}));
}

// Guards against unbounded memory while servers keep crashing.
Test(crash_guard, memory_is_bounded) {
  crash_guard guard(50);
  for (std::uint64_t i = 0; i < 1000; ++i) {
    guard.OnServerCrash("a", {i}, kNow + duration(i));
    guard.OnCompleted(100'000 + i, kNow + duration(i));
  }
  cr_assert(guard.size() <= 100);
}
