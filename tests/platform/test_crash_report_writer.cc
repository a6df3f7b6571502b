#include <criterion/criterion.h>

#include "limits/crash_report.h"
#include "loop_fixture.h"
#include "platform/control_feed.h"
#include "platform/crash_report_writer.h"

using namespace limpetlever;
using platform::platform_store;

// Guards against reports that are lost while the store is away, or whose write is not answered.
Test(crash_report_writer, reports_are_stored_after_an_outage) {
  loop_fixture fixture;
  platform::crash_report_writer writer(fixture.loop, fixture.store.address(), fixture.counts, 1);
  const auto entry = [](std::uint64_t fingerprint) {
    return ToGossipEntry({.fingerprint = fingerprint, .server = "s", .at = wall_time(duration(7))});
  };
  fixture.store.SetMode(platform_store::mode_type::busy);
  writer.Write(entry(1));
  writer.Write(entry(2));
  fixture.RunUntil([&] { return fixture.store.CallCount("/kv-lease") >= 2; });
  fixture.store.SetMode(platform_store::mode_type::normal);
  fixture.RunUntil([&] { return fixture.store.items().size() == 2; });
  writer.Write(entry(3));
  fixture.RunUntil([&] { return fixture.store.items().size() == 3; });
  const auto stored = platform::DecodeEntry(fixture.store.items().at(entry(3).key).value);
  cr_assert(stored && ParseCrashReport(*stored) == ParseCrashReport(entry(3)));
}
