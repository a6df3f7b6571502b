#include <criterion/criterion.h>

#include <algorithm>

#include "events/event_log.h"

using namespace limpetlever;

namespace {

std::size_t Count(const std::vector<event>& events, event_number number) {
  return static_cast<std::size_t>(
      std::count_if(events.begin(), events.end(),
                    [number](const event& entry) { return entry.number == number; }));
}

}  // namespace

// Guards against a busy host that loses the event of an edit because events of queries evict it.
Test(event_log, events_of_requests_do_not_evict_others) {
  event_log log("h", 10, [] { return wall_time{}; });
  log.Record(event_number::table_adopted, {});
  for (int i = 0; i < 100; ++i) {
    log.Record(event_number::attempt_sent, {});
  }
  const auto kept = log.Read(0, 100);
  cr_assert(kept.size() == 10);
  cr_assert(kept.front().number == event_number::table_adopted && kept.front().sequence == 1);
  cr_assert(kept.back().sequence == 101);
}

// Guards against other events filling the whole log, and against events out of sequence.
Test(event_log, events_of_requests_keep_half_the_log_and_order_is_by_sequence) {
  event_log log("h", 10, [] { return wall_time{}; });
  for (int i = 0; i < 100; ++i) {
    log.Record(event_number::table_adopted, {});
    log.Record(event_number::attempt_started, {});
  }
  const auto kept = log.Read(0, 100);
  cr_assert(kept.size() == 10 && Count(kept, event_number::attempt_started) == 5);
  cr_assert(std::is_sorted(kept.begin(), kept.end(),
                           [](const event& a, const event& b) { return a.sequence < b.sequence; }));
  cr_assert(log.Read(kept[7].sequence, 1).size() == 1);
  cr_assert(log.Read(kept[7].sequence, 1).front().sequence == kept[8].sequence);
}
