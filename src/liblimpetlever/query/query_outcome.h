#ifndef LIMPETLEVER_QUERY_QUERY_OUTCOME_H_
#define LIMPETLEVER_QUERY_QUERY_OUTCOME_H_

#include <optional>
#include <string>
#include <vector>

#include "base/verdict.h"
#include "query/replica_reply.h"

namespace limpetlever {

/** How a query ended. */
struct query_outcome {
  /** Whether the request may have run, and why there is no answer if there is none. */
  verdict result;
  /** The answer of a route to a single backend server. */
  std::optional<replica_reply> reply;
  /** The parts of a route over shards; empty when the query failed. */
  std::vector<replica_reply> parts;
  int missing_parts = 0;

  bool HasAnswer() const { return reply.has_value() || !parts.empty(); }
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_QUERY_OUTCOME_H_
