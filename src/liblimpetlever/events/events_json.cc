#include "events/events_json.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <limits>
#include <sstream>
#include <utility>

#include "base/json_reader.h"

namespace limpetlever {

namespace {

constexpr auto kMaxInteger = std::numeric_limits<std::int64_t>::max();

}  // namespace

std::string FormatHostEvents(const host_events& report) {
  Poco::JSON::Array::Ptr events = new Poco::JSON::Array;
  for (const event& entry : report.events) {
    Poco::JSON::Object::Ptr item = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    item->set("sequence", entry.sequence);
    item->set("time_us", entry.time.time_since_epoch().count());
    item->set("number", static_cast<int>(entry.number));
    item->set("name", ToString(entry.number));
    Poco::JSON::Array::Ptr fields = new Poco::JSON::Array;
    for (const event_field& field : entry.fields) {
      Poco::JSON::Object::Ptr pair = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
      pair->set("name", field.name);
      pair->set("value", field.value);
      fields->add(pair);
    }
    item->set("fields", fields);
    events->add(item);
  }
  Poco::JSON::Object root(Poco::JSON_PRESERVE_KEY_ORDER);
  root.set("host", report.host);
  root.set("data_centre", report.data_centre);
  root.set("now_us", report.now.time_since_epoch().count());
  root.set("events", events);
  std::ostringstream out;
  root.stringify(out);
  return out.str();
}

result<host_events> ParseHostEvents(const std::string& text, const std::string& source) {
  const auto root = json_reader::ParseText(text, source);
  if (!root) {
    return root.error();
  }
  json_reader in(*root, "");
  host_events report{.host = in.String("host"),
                     .data_centre = in.String("data_centre"),
                     .now = wall_time(duration(in.Integer("now_us", 0, kMaxInteger))),
                     .events = {}};
  for (json_reader& element : in.ObjectsOrEmpty("events")) {
    event entry{.host = report.host,
                .sequence = static_cast<std::uint64_t>(element.Integer("sequence", 0, kMaxInteger)),
                .time = wall_time(duration(element.Integer("time_us", 0, kMaxInteger))),
                .number = static_cast<event_number>(element.Integer("number", 0, 999)),
                .fields = {}};
    element.String("name");
    for (json_reader& field : element.ObjectsOrEmpty("fields")) {
      entry.fields.push_back({.name = field.String("name"), .value = field.String("value")});
      element.TakeErrorFrom(field);
    }
    in.TakeErrorFrom(element);
    const auto& known = AllEventNumbers();
    if (std::find(known.begin(), known.end(), entry.number) != known.end()) {
      report.events.push_back(std::move(entry));
    }
  }
  if (const auto error = in.Finish()) {
    return failure{error->code, source + ": " + error->message};
  }
  return report;
}

}  // namespace limpetlever
