#ifndef LIMPETLEVER_QUERY_RETRY_LIMITS_H_
#define LIMPETLEVER_QUERY_RETRY_LIMITS_H_

#include "base/time_types.h"

namespace limpetlever {

/** Limits of this host's extra attempts (hedges and retries) for each service. */
struct retry_limits {
  /** Extra attempts that one request of a caller allows. */
  double per_request = 0.0;
  /** Maximum number of unused extra attempts that are kept; a host starts with half of them. */
  double burst = 0.0;
  /** Extra attempts that each second allows, independent of requests. */
  double per_second = 0.0;

  bool operator==(const retry_limits&) const = default;
};

/**
 * Bound on the extra attempts of all hosts together: in any `window`, `ratio` times the number of
 * requests, plus `slack`.
 */
struct fleet_retry_bound {
  double ratio = 0.0;
  double slack = 0.0;
  duration window{};
};

/** Limits of one of `hosts` hosts that share `part`, from 0 to 1, of `bound`. */
retry_limits HostRetryLimits(const fleet_retry_bound& bound, double part, int hosts);

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_RETRY_LIMITS_H_
