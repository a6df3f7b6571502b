#ifndef LIMPETLEVER_CONFIG_ROUTE_H_
#define LIMPETLEVER_CONFIG_ROUTE_H_

#include <string>
#include <vector>

#include "base/time_types.h"
#include "config/weighted_service.h"

namespace limpetlever {

/** How requests for one host and path prefix are served. */
struct route {
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string prefix;
  /** The services that share the requests; empty for a route over shards. */
  std::vector<weighted_service> services;
  /** One service a shard; empty for a route to a single backend server. */
  std::vector<std::string> shards;
  bool is_idempotent = false;
  /** The longest time that a caller is kept waiting. */
  duration timeout{};
  /** An answer within this time has its full value to the caller. */
  duration target_latency{};
  /** Backend servers that may run one request, for each shard. */
  int max_attempts = 1;
  /** 0 is the most urgent. */
  int priority = 0;
  /** Records in the answer of a route over shards. */
  int top_k = 0;
  /** The least share of shards that makes an answer. */
  double min_shard_ratio = 1.0;

  bool IsOverShards() const { return !shards.empty(); }
  bool operator==(const route&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONFIG_ROUTE_H_
