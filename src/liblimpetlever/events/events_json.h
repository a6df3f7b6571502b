#ifndef LIMPETLEVER_EVENTS_EVENTS_JSON_H_
#define LIMPETLEVER_EVENTS_EVENTS_JSON_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "events/event.h"

namespace limpetlever {

/** Events of one host, as GET /v1/events returns them. */
struct host_events {
  std::string host;
  std::string data_centre;
  /** The host's wall clock at the time of its response. */
  wall_time now;
  std::vector<event> events;

  bool operator==(const host_events&) const = default;
};

/** Formats as JSON: times in microseconds since 1970, each event with its number and name. */
std::string FormatHostEvents(const host_events& report);
/**
 * Parses the output of FormatHostEvents. Skips events whose number this version does not know. The
 * message of a failure begins with `source`.
 */
result<host_events> ParseHostEvents(const std::string& text, const std::string& source);

}  // namespace limpetlever

#endif  // LIMPETLEVER_EVENTS_EVENTS_JSON_H_
