#ifndef LIMPETLEVER_EVENTS_EVENT_H_
#define LIMPETLEVER_EVENTS_EVENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "events/event_field.h"
#include "events/event_number.h"

namespace limpetlever {

/** Entry of a host's event_log. */
struct event {
  std::string host;
  /** Sequence number of the event on its host, counted from 1. */
  std::uint64_t sequence = 0;
  /** On the clock of the host. */
  wall_time time;
  event_number number = event_number::host_started;
  std::vector<event_field> fields;

  bool operator==(const event&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_EVENTS_EVENT_H_
