#ifndef LIMPETLEVER_ROUTING_SERVICE_RECORD_H_
#define LIMPETLEVER_ROUTING_SERVICE_RECORD_H_

#include "routing/extra_attempt_budget.h"
#include "routing/latency_estimator.h"

namespace limpetlever {

/** What a host records about one service: the budget for extra attempts and the latencies. */
struct service_record {
  extra_attempt_budget budget;
  latency_estimator latency;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_SERVICE_RECORD_H_
