#ifndef LIMPETLEVER_ROUTING_DATA_CENTRE_RAMP_H_
#define LIMPETLEVER_ROUTING_DATA_CENTRE_RAMP_H_

#include <map>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "table/data_centre_row.h"

namespace limpetlever {

/**
 * The share of its normal work that each data centre gets: none while it is out, and from 5% to
 * 100%, rising linearly over 30 s, once it is back in.
 */
class data_centre_ramp {
 public:
  // Backend servers of a returning data centre are cold. The owners' concurrency limits protect
  // them; the ramp keeps queries from being held up by those limits.
  static constexpr duration kRampDuration = std::chrono::seconds(30);

  /** Applies the rows of a new table. The state of data centres without a row is dropped. */
  void SetRows(const std::vector<data_centre_row>& rows, instant now);

  /** Share from 0 to 1; 1 for a data centre that was never out or is unknown. */
  double Share(const std::string& data_centre, instant now) const;

 private:
  struct ramp_state {
    bool taken_out = false;
    /** Whether it returned at `returned_at`; false if it has been in since first seen. */
    bool returning = false;
    instant returned_at;
  };
  std::map<std::string, ramp_state> states_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_DATA_CENTRE_RAMP_H_
