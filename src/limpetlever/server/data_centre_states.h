#ifndef LIMPETLEVER_SERVER_DATA_CENTRE_STATES_H_
#define LIMPETLEVER_SERVER_DATA_CENTRE_STATES_H_

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "chart/chart_state.h"
#include "table/data_centre_row.h"

namespace limpetlever {

class event_log;

/**
 * State of each data centre of the table by the chart "data_centre": in, out or returning. Records
 * each change as an event. Safe for use by several threads.
 */
class data_centre_states {
 public:
  explicit data_centre_states(event_log& events) : events_(events) {}

  /** Call with the rows of each new table. Data centres without a row are removed. */
  void SetRows(const std::vector<data_centre_row>& rows, instant now);

  /** Ends the state "returning" where the ramp is over; call about once per second. */
  void Advance(instant now);

  /** "in", "out" or "returning"; "in" for an unknown data centre. */
  std::string DataCentreState(const std::string& data_centre) const;

 private:
  struct entry {
    chart_state state;
    /** When the data centre was last taken out or in, or first seen. */
    instant changed_at;
  };
  void Record(const std::string& data_centre, const std::string& from, const std::string& to);

  event_log& events_;
  mutable std::mutex mutex_;
  std::map<std::string, entry> entries_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_DATA_CENTRE_STATES_H_
