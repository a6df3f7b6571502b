#include "events/timeline_filter.h"

#include <charconv>
#include <cstdint>
#include <optional>

#include "events/cause_pairs.h"

namespace limpetlever {

namespace {

std::optional<std::uint64_t> ParseNumber(const std::string& text, int base) {
  std::uint64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, value, base);
  return error == std::errc() && parsed_end == end ? std::optional(value) : std::nullopt;
}

/**
 * Whether the event is about the query, attempt, submission key, claim or edit with this id. An
 * attempt id begins with the id of its query in hexadecimal.
 */
bool MatchesId(const event& entry, const std::string& id) {
  const std::string query = FieldValue(entry, "query");
  const std::string attempt = FieldValue(entry, "attempt");
  if (query == id || attempt == id || FieldValue(entry, "key") == id ||
      FieldValue(entry, "claim") == id || FieldValue(entry, "id") == id) {
    return true;
  }
  if (id.find('-') != std::string::npos) {
    return false;
  }
  const auto decimal = ParseNumber(id, 10);
  const auto hexadecimal = id.size() == 16 ? ParseNumber(id, 16) : std::nullopt;
  const auto event_query = attempt.empty() ? ParseNumber(query, 10)
                                           : ParseNumber(attempt.substr(0, attempt.find('-')), 16);
  return event_query && (event_query == decimal || event_query == hexadecimal);
}

}  // namespace

timeline FilterTimeline(const timeline& all, const timeline_filter& filter) {
  timeline shown{.entries = {}, .offsets = all.offsets};
  for (const timeline_entry& entry : all.entries) {
    const auto service =
        filter.service_by_address.find(FieldValue(entry.recorded_event, "replica"));
    const bool matches_service =
        filter.service.empty() || FieldValue(entry.recorded_event, "service") == filter.service ||
        (service != filter.service_by_address.end() && service->second == filter.service);
    if (matches_service && (filter.id.empty() || MatchesId(entry.recorded_event, filter.id)) &&
        (filter.host.empty() || entry.recorded_event.host == filter.host) &&
        (filter.data_centre.empty() || entry.data_centre == filter.data_centre) &&
        (filter.number == 0 || static_cast<int>(entry.recorded_event.number) == filter.number)) {
      shown.entries.push_back(entry);
    }
  }
  return shown;
}

}  // namespace limpetlever
