#ifndef LIMPETLEVER_QUERY_RETRY_TERMS_H_
#define LIMPETLEVER_QUERY_RETRY_TERMS_H_

namespace limpetlever {

/** How many extra attempts this host may send for each service. */
struct retry_terms {
  /** Extra attempts that one request earns. */
  double per_request = 0.0;
  /** Extra attempts that may be saved; also what a host starts with. */
  double burst = 0.0;

  bool operator==(const retry_terms&) const = default;
};

/**
 * The share of one of `hosts` hosts in a bound for the fleet: in any window, at most `ratio` times
 * the requests plus `slack` extra attempts.
 */
retry_terms ShareOfFleet(double ratio, double slack, int hosts);

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_RETRY_TERMS_H_
