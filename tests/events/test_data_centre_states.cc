#include <criterion/criterion.h>

#include "events/cause_pairs.h"
#include "events/event_log.h"
#include "server/data_centre_states.h"

using namespace limpetlever;

namespace {

std::string RecordedChanges(const event_log& log) {
  std::string text;
  for (const event& entry : log.Read(0, 100)) {
    text += FieldValue(entry, "data_centre") + ":" + FieldValue(entry, "from") + ">" +
            FieldValue(entry, "to") + " ";
  }
  return text;
}

}  // namespace

// Guards against a change of a data centre's state that is recorded twice, late, or not at all.
Test(data_centre_states, each_change_is_recorded_once) {
  event_log log("h", 100, [] { return wall_time{}; });
  data_centre_states states(log);
  const instant start{};
  const auto after = [start](int seconds) { return start + std::chrono::seconds(seconds); };
  states.SetRows({{.name = "east"}, {.name = "north"}}, start);
  cr_assert(RecordedChanges(log).empty() && states.DataCentreState("east") == "in");
  states.SetRows({{.name = "east", .taken_out = true}, {.name = "north"}}, after(1));
  states.SetRows({{.name = "east", .taken_out = true}, {.name = "north"}}, after(2));
  cr_assert(states.DataCentreState("east") == "out" && states.DataCentreState("north") == "in");
  states.SetRows({{.name = "east"}, {.name = "north"}}, after(3));
  states.Advance(after(32));
  cr_assert(states.DataCentreState("east") == "returning");
  states.Advance(after(33));
  cr_assert(states.DataCentreState("east") == "in");
  cr_assert(RecordedChanges(log) == "east:in>out east:out>returning east:returning>in ");
}

// Guards against a data centre that cannot be taken out of service again while it is returning.
Test(data_centre_states, a_returning_data_centre_is_taken_out_again) {
  event_log log("h", 100, [] { return wall_time{}; });
  data_centre_states states(log);
  const instant start{};
  states.SetRows({{.name = "east", .taken_out = true}}, start);
  states.SetRows({{.name = "east"}}, start);
  states.SetRows({{.name = "east", .taken_out = true}}, start);
  states.Advance(start + std::chrono::seconds(100));
  cr_assert(states.DataCentreState("east") == "out");
}
