#ifndef LIMPETLEVER_EVENTS_HOST_FETCH_H_
#define LIMPETLEVER_EVENTS_HOST_FETCH_H_

#include "events/events_json.h"

namespace limpetlever {

/**
 * Events fetched from one host, with the times of the request and the response on the clock of the
 * process that fetched them.
 */
struct host_fetch {
  host_events report;
  wall_time request_time;
  wall_time response_time;

  bool operator==(const host_fetch&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_EVENTS_HOST_FETCH_H_
