#ifndef LIMPETLEVER_EVENTS_LOG_LINE_H_
#define LIMPETLEVER_EVENTS_LOG_LINE_H_

#include <cstdint>
#include <span>
#include <string>

#include "base/time_types.h"
#include "events/event_number.h"
#include "events/log_field.h"

namespace limpetlever {

/** Host, time and sequence number of a log line. */
struct log_line_header {
  std::string_view host;
  wall_time time;
  /** Sequence number of the line in this process, counted from 1. */
  std::uint64_t sequence = 0;
};

/** Appends a line with the event as a JSON object. */
void AppendLogLine(std::string& out,
                   const log_line_header& origin,
                   event_number number,
                   std::span<const log_field> fields);

}  // namespace limpetlever

#endif  // LIMPETLEVER_EVENTS_LOG_LINE_H_
