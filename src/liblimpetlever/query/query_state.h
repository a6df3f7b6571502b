#ifndef LIMPETLEVER_QUERY_QUERY_STATE_H_
#define LIMPETLEVER_QUERY_QUERY_STATE_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "base/random_source.h"
#include "query/retry_budget.h"
#include "query/retry_limits.h"
#include "routing/latency_estimator.h"

namespace limpetlever {

class replica_registry;

/** State that all queries of one host share. */
struct query_state {
  replica_registry& replicas;
  random_source random;
  retry_limits budget_limits;
  /** By service name. */
  std::unordered_map<std::string, retry_budget> budgets;
  /** By route name, so that they survive a change of the configuration. */
  std::unordered_map<std::string, latency_estimator> latencies;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_QUERY_STATE_H_
