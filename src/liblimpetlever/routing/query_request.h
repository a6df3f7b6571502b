#ifndef LIMPETLEVER_ROUTING_QUERY_REQUEST_H_
#define LIMPETLEVER_ROUTING_QUERY_REQUEST_H_

#include <cstdint>
#include <memory>
#include <string>

#include "base/time_types.h"

namespace limpetlever {

/** A caller's query, as the coordinator received it. */
struct query_request {
  std::uint64_t id = 0;
  std::string workload;
  std::shared_ptr<const std::string> body;
  /** Time that the caller allows for the answer, counted from when the query was received. */
  duration time_limit{};
  bool urgent = false;
  /**
   * Share of shards, 0 to 1, that is enough for the caller. Below 1 the query may end before all
   * shards have answered.
   */
  double wanted_coverage = 1.0;
  std::uint64_t fingerprint = 0;
  /** Whether an attempt that may have run may be sent again. */
  bool idempotent = true;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_QUERY_REQUEST_H_
