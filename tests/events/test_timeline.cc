#include <criterion/criterion.h>

#include <map>
#include <string>

#include "base/random_source.h"
#include "events/cause_pairs.h"
#include "events/timeline.h"
#include "events/timeline_filter.h"
#include "events/timeline_format.h"

using namespace limpetlever;

namespace {

wall_time TimeAt(std::int64_t micros) {
  return wall_time(duration(1'700'000'000'000'000 + micros));
}

/** Builds the reports of hosts with clock skew, from events whose true times are known. */
struct skewed_system {
  std::map<std::string, std::int64_t> skew_us;
  std::map<std::string, host_fetch> fetches;

  void Record(const std::string& host,
              std::int64_t true_us,
              event_number number,
              std::vector<event_field> fields) {
    host_events& report = fetches[host].report;
    report.host = host;
    report.events.push_back({.host = host,
                             .sequence = report.events.size() + 1,
                             .time = TimeAt(true_us + skew_us[host]),
                             .number = number,
                             .fields = std::move(fields)});
  }
  std::vector<host_fetch> Fetch(std::int64_t round_trip_us, random_source& random) {
    std::vector<host_fetch> list;
    for (auto& [host, fetch] : fetches) {
      fetch.request_time = TimeAt(10'000'000);
      fetch.response_time = TimeAt(10'000'000 + round_trip_us);
      const auto request_us = static_cast<std::int64_t>(random.Below(round_trip_us + 1));
      fetch.report.now = TimeAt(10'000'000 + request_us + skew_us[host]);
      list.push_back(fetch);
    }
    return list;
  }
};

}  // namespace

// Guards against an effect before its cause, and against offsets outside the stated uncertainty,
// when clocks differ by seconds and the fetch is slow. Runs with 50 seeds.
Test(timeline, no_effect_before_its_cause_despite_skew) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    random_source random(seed);
    skewed_system system;
    for (int host = 0; host < 6; ++host) {
      system.skew_us["h" + std::to_string(host)] =
          static_cast<std::int64_t>(random.Below(6'000'000)) - 3'000'000;
    }
    std::int64_t now = 0;
    for (int i = 0; i < 60; ++i) {
      const std::string from = "h" + std::to_string(random.Below(6));
      const std::string to = "h" + std::to_string(random.Below(6));
      const std::string id = "0000000000000001-0-" + std::to_string(i);
      now += static_cast<std::int64_t>(random.Below(2000));
      system.Record(from, now, event_number::attempt_sent, {{"attempt", id}});
      now += 1 + static_cast<std::int64_t>(random.Below(500));
      system.Record(to, now, event_number::attempt_started, {{"attempt", id}});
      now += 1 + static_cast<std::int64_t>(random.Below(500));
      system.Record(from, now, event_number::attempt_answered, {{"attempt", id}});
    }
    const timeline merged = MergeTimeline(system.Fetch(200'000, random));
    cr_assert(merged.entries.size() == 180);
    std::map<std::string, int> step;
    std::map<std::string, std::uint64_t> last;
    for (const timeline_entry& entry : merged.entries) {
      const int expected = entry.recorded_event.number == event_number::attempt_sent      ? 0
                           : entry.recorded_event.number == event_number::attempt_started ? 1
                                                                                          : 2;
      cr_assert(step[FieldValue(entry.recorded_event, "attempt")]++ == expected, "seed %d",
                static_cast<int>(seed));
      cr_assert(entry.recorded_event.sequence == ++last[entry.recorded_event.host]);
    }
    for (const clock_offset& offset : merged.offsets) {
      const auto error = offset.offset - duration(system.skew_us[offset.host]);
      cr_assert(error <= offset.uncertainty + duration(1) &&
                -error <= offset.uncertainty + duration(1));
    }
  }
}

// Guards against a merge that does not terminate, or loses events, when causes form a cycle.
Test(timeline, events_with_cyclic_causes_are_all_kept) {
  skewed_system system;
  system.Record("a", 1, event_number::attempt_started, {{"attempt", "x"}});
  system.Record("a", 2, event_number::attempt_sent, {{"attempt", "y"}});
  system.Record("b", 1, event_number::attempt_started, {{"attempt", "y"}});
  system.Record("b", 2, event_number::attempt_sent, {{"attempt", "x"}});
  random_source random(1);
  cr_assert(MergeTimeline(system.Fetch(100, random)).entries.size() == 4);
}

// Guards against a filter by query id (decimal in answers) that misses the attempts of the query,
// whose ids hold it in hexadecimal.
Test(timeline, filters_find_queries_by_either_form_of_the_id) {
  skewed_system system;
  system.Record("a", 1, event_number::query_started, {{"query", "255"}});
  system.Record("a", 2, event_number::attempt_started,
                {{"attempt", "00000000000000ff-3-0"}, {"replica", "10.0.0.1:80"}});
  system.Record("a", 3, event_number::query_started, {{"query", "256"}});
  random_source random(1);
  const timeline all = MergeTimeline(system.Fetch(100, random));
  timeline_filter filter;
  filter.id = "255";
  cr_assert(FilterTimeline(all, filter).entries.size() == 2);
  filter.id = "00000000000000ff";
  cr_assert(FilterTimeline(all, filter).entries.size() == 2);
  filter.id = "00000000000000ff-3-0";
  cr_assert(FilterTimeline(all, filter).entries.size() == 1);
  filter = {.service = "s", .service_by_address = {{"10.0.0.1:80", "s"}}};
  cr_assert(FilterTimeline(all, filter).entries.size() == 1);
  filter = {.number = 200};
  cr_assert(FilterTimeline(all, filter).entries.size() == 2);
}

// Guards against markup from a caller's input in the page, and against external resources.
Test(timeline, html_is_escaped_and_self_contained) {
  skewed_system system;
  system.Record("a", 1, event_number::bad_input, {{"detail", "<script>alert(1)</script>"}});
  random_source random(1);
  const std::string page = FormatTimelineHtml(MergeTimeline(system.Fetch(100, random)));
  cr_assert(page.find("<script") == std::string::npos);
  cr_assert(page.find("&lt;script&gt;") != std::string::npos);
  cr_assert(page.find("http") == std::string::npos && page.find("src=") == std::string::npos);
}

// Guards against fields that are lost or altered between a host and the command that reads its
// events.
Test(timeline, host_events_are_preserved_by_their_json) {
  const host_events report{
      .host = "a",
      .data_centre = "north",
      .now = TimeAt(5),
      .events = {{.host = "a",
                  .sequence = 7,
                  .time = TimeAt(1),
                  .number = event_number::bad_input,
                  .fields = {{"detail", "a \"quoted\" \\ text"}, {"client", "x"}}}}};
  const auto read = ParseHostEvents(FormatHostEvents(report), "text");
  cr_assert(read);
  cr_assert(*read == report);
}
