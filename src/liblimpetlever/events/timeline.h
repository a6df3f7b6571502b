#ifndef LIMPETLEVER_EVENTS_TIMELINE_H_
#define LIMPETLEVER_EVENTS_TIMELINE_H_

#include <string>
#include <vector>

#include "events/clock_offset.h"
#include "events/event.h"
#include "events/host_fetch.h"

namespace limpetlever {

/** An event of a timeline. */
struct timeline_entry {
  event recorded_event;
  std::string data_centre;
  /**
   * Time of the event on the clock of the process that fetched the events; not before the time of
   * an entry that caused it.
   */
  wall_time time;

  bool operator==(const timeline_entry&) const = default;
};

/** The events of all hosts in one order, and the clock offsets subtracted from their times. */
struct timeline {
  std::vector<timeline_entry> entries;
  std::vector<clock_offset> offsets;

  bool operator==(const timeline&) const = default;
};

/**
 * Merges the events of hosts with clock skew. Events of one host keep their order, and an effect
 * never comes before its cause (see FindCausePairs). Otherwise events are ordered by corrected
 * time. Two events of different hosts may come in the wrong order if they are closer in time than
 * the sum of the two hosts' uncertainties.
 */
timeline MergeTimeline(const std::vector<host_fetch>& fetches);

}  // namespace limpetlever

#endif  // LIMPETLEVER_EVENTS_TIMELINE_H_
