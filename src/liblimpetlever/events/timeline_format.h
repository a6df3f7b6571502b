#ifndef LIMPETLEVER_EVENTS_TIMELINE_FORMAT_H_
#define LIMPETLEVER_EVENTS_TIMELINE_FORMAT_H_

#include <string>

#include "events/timeline.h"

namespace limpetlever {

/** Plain text with a line per event: time (UTC), host, number, name and fields. */
std::string FormatTimelineText(const timeline& events);

/** JSON: {"offsets": [...], "events": [...]}, with times in microseconds. */
std::string FormatTimelineJson(const timeline& events);

/** HTML page without external resources, with a row per event and a column per host. */
std::string FormatTimelineHtml(const timeline& events);

}  // namespace limpetlever

#endif  // LIMPETLEVER_EVENTS_TIMELINE_FORMAT_H_
