#include "events/timeline_format.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <sstream>
#include <vector>

namespace limpetlever {

namespace {

std::string FormatTime(wall_time time) {
  const auto micros = time.time_since_epoch().count();
  const std::time_t seconds = micros / 1'000'000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[64];
  std::snprintf(text, sizeof(text), "%04d-%02d-%02dT%02d:%02d:%02d.%06dZ", utc.tm_year + 1900,
                utc.tm_mon + 1, utc.tm_mday, utc.tm_hour, utc.tm_min, utc.tm_sec,
                static_cast<int>(micros % 1'000'000));
  return text;
}

/** Formats the fields as "name=value", separated by spaces. Skips fields without a value. */
std::string FormatFields(const event& entry) {
  std::string text;
  for (const event_field& field : entry.fields) {
    if (!field.value.empty()) {
      text += (text.empty() ? "" : " ") + field.name + "=" + field.value;
    }
  }
  return text;
}

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

/** Length of "11:05:58.395361". */
constexpr std::size_t kTimeOfDayLength = 15;

// The hosts' columns (lanes) are narrow and the fields take the remaining width, so that 16 hosts
// fit into 1,400 pixels.
constexpr char kHtmlHead[] = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>limpetlever timeline</title><style>
body { font: 13px sans-serif; margin: 16px; max-width: 1368px; color: #222; }
table { border-collapse: collapse; width: 100%; table-layout: fixed; }
th { vertical-align: bottom; text-align: left; font-weight: 600; position: sticky; top: 0;
  background: #fff; }
th.lane { height: 80px; width: 29px; }
th.lane div { writing-mode: vertical-rl; transform: rotate(180deg); white-space: nowrap;
  margin: 0 auto; }
th.time { width: 124px; } th.what { width: 218px; }
tbody tr:hover { background: #f4f4f4; } p { font-size: 12px; color: #555; }
td { border-bottom: 1px solid #eee; padding: 2px 4px; overflow-wrap: anywhere; vertical-align: top; }
td.lane { border-left: 1px solid #ccc; text-align: center; padding: 0; }
td.time, td.fields { font-family: monospace; font-size: 12px; }
.c1 { color: #555; } .c2 { color: #0b57a4; } .c3 { color: #0a7a3d; } .c4 { color: #7a4a00; }
.c5 { color: #6a1b9a; } .c6 { color: #00687a; } .c7 { color: #a05a00; } .c8 { color: #b00020; }
</style></head><body><h1>Timeline</h1>
)";

}  // namespace

std::string FormatTimelineText(const timeline& events) {
  std::string text;
  for (const timeline_entry& entry : events.entries) {
    const std::string fields = FormatFields(entry.recorded_event);
    text += FormatTime(entry.time) + "  " + entry.recorded_event.host + "  [" +
            std::to_string(static_cast<int>(entry.recorded_event.number)) + "] " +
            ToString(entry.recorded_event.number) + (fields.empty() ? "" : "  " + fields) + "\n";
  }
  return text;
}

std::string FormatTimelineJson(const timeline& events) {
  Poco::JSON::Array::Ptr offsets = new Poco::JSON::Array;
  for (const clock_offset& offset : events.offsets) {
    Poco::JSON::Object::Ptr item = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    item->set("host", offset.host);
    item->set("offset_us", offset.offset.count());
    item->set("uncertainty_us", offset.uncertainty.count());
    offsets->add(item);
  }
  Poco::JSON::Array::Ptr list = new Poco::JSON::Array;
  for (const timeline_entry& entry : events.entries) {
    Poco::JSON::Object::Ptr item = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    item->set("time_us", entry.time.time_since_epoch().count());
    item->set("host", entry.recorded_event.host);
    item->set("data_centre", entry.data_centre);
    item->set("sequence", entry.recorded_event.sequence);
    item->set("number", static_cast<int>(entry.recorded_event.number));
    item->set("name", ToString(entry.recorded_event.number));
    Poco::JSON::Object::Ptr fields = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    for (const event_field& field : entry.recorded_event.fields) {
      fields->set(field.name, field.value);
    }
    item->set("fields", fields);
    list->add(item);
  }
  Poco::JSON::Object root(Poco::JSON_PRESERVE_KEY_ORDER);
  root.set("offsets", offsets);
  root.set("events", list);
  std::ostringstream out;
  root.stringify(out, 1);
  return out.str() + "\n";
}

std::string FormatTimelineHtml(const timeline& events) {
  std::vector<std::string> lanes;
  for (const clock_offset& offset : events.offsets) {
    lanes.push_back(offset.host);
  }
  std::ostringstream out;
  out << kHtmlHead << "<p>" << events.entries.size() << " events of " << lanes.size()
      << " hosts, times in UTC. Clock offsets removed:";
  for (const clock_offset& offset : events.offsets) {
    out << " " << EscapeHtml(offset.host) << " " << offset.offset.count() << " &plusmn; "
        << offset.uncertainty.count() << " &micro;s;";
  }
  out << "</p>\n<table><thead><tr><th class=\"time\">Time</th>";
  for (const std::string& lane : lanes) {
    out << "<th class=\"lane\"><div>" << EscapeHtml(lane) << "</div></th>";
  }
  out << "<th class=\"what\">Event</th><th>Fields</th></tr></thead><tbody>\n";
  for (const timeline_entry& entry : events.entries) {
    const int number = static_cast<int>(entry.recorded_event.number);
    const std::string colour = "c" + std::to_string(number / 100);
    const std::string time = FormatTime(entry.time);
    out << "<tr title=\"" << time << " " << EscapeHtml(entry.recorded_event.host)
        << "\"><td class=\"time\">" << time.substr(time.find('T') + 1, kTimeOfDayLength) << "</td>";
    for (const std::string& lane : lanes) {
      out << "<td class=\"lane " << colour << "\">"
          << (lane == entry.recorded_event.host ? "&#9679;" : "") << "</td>";
    }
    out << "<td class=\"" << colour << "\">" << number << " "
        << ToString(entry.recorded_event.number) << "</td><td class=\"fields\">"
        << EscapeHtml(FormatFields(entry.recorded_event)) << "</td></tr>\n";
  }
  out << "</tbody></table></body></html>\n";
  return out.str();
}

}  // namespace limpetlever
