#ifndef LIMPETLEVER_EVENTS_TIMELINE_FILTER_H_
#define LIMPETLEVER_EVENTS_TIMELINE_FILTER_H_

#include <map>
#include <string>

#include "events/timeline.h"

namespace limpetlever {

/** Conditions for the entries of a timeline; an empty field matches all entries. */
struct timeline_filter {
  /**
   * Id of a query (decimal, or 16 hexadecimal digits as in attempt ids), attempt, claim or edit, or
   * the key of a submission.
   */
  std::string id;
  std::string host;
  std::string data_centre;
  std::string service;
  /** Event number; 0 matches all. */
  int number = 0;
  /** Services of the backend servers by address; needed to match `service`. */
  std::map<std::string, std::string> service_by_address;
};

/**
 * Returns the entries that match the filter, in the same order. `all` must be merged from the
 * events of all hosts, since the order depends on events that the filter removes.
 */
timeline FilterTimeline(const timeline& all, const timeline_filter& filter);

}  // namespace limpetlever

#endif  // LIMPETLEVER_EVENTS_TIMELINE_FILTER_H_
