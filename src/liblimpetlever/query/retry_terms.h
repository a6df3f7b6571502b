#ifndef LIMPETLEVER_QUERY_RETRY_TERMS_H_
#define LIMPETLEVER_QUERY_RETRY_TERMS_H_

#include "base/time_types.h"

namespace limpetlever {

/** How many extra attempts this host may send for each service. */
struct retry_terms {
  /** Extra attempts that one request earns. */
  double per_request = 0.0;
  /** Extra attempts that may be saved; also what a host starts with. */
  double burst = 0.0;
  /** Extra attempts that are earned by time alone. */
  double per_second = 0.0;

  bool operator==(const retry_terms&) const = default;
};

/** A bound for the fleet: in any window, `ratio` times the requests plus `slack` extra attempts. */
struct retry_bound {
  double ratio = 0.0;
  double slack = 0.0;
  duration window{};
};

/** The share of one of `hosts` hosts in `part`, 0 to 1, of a bound for the fleet. */
retry_terms ShareOfFleet(const retry_bound& bound, double part, int hosts);

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_RETRY_TERMS_H_
