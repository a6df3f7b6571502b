#ifndef LIMPETLEVER_QUERY_QUERY_OUTCOME_H_
#define LIMPETLEVER_QUERY_QUERY_OUTCOME_H_

#include <optional>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "base/verdict.h"
#include "query/replica_reply.h"

namespace limpetlever {

/** Result of a finished query. */
struct query_outcome {
  /** Whether the request may have run, and why there is no answer if there is none. */
  verdict result;
  /** Answer of the backend server; set only for a route to a single server. */
  std::optional<replica_reply> reply;
  /** One answer for each shard that answered; empty when the query failed or has no shards. */
  std::vector<replica_reply> parts;
  /** Number of shards that are missing from `parts`. */
  int missing_shards = 0;
  /** After what time the request could be served, if it was rejected under a limit. */
  duration retry_after{};

  bool HasAnswer() const { return reply.has_value() || !parts.empty(); }
  /** Whether all servers that the request needs have run it with success. */
  bool IsComplete() const;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_QUERY_OUTCOME_H_
