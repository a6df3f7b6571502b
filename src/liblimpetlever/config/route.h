#ifndef LIMPETLEVER_CONFIG_ROUTE_H_
#define LIMPETLEVER_CONFIG_ROUTE_H_

#include <string>
#include <vector>

#include "base/time_types.h"
#include "config/weighted_service.h"

namespace limpetlever {

/** Serving rules for requests with one Host header and path prefix. */
struct route {
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string prefix;
  /** The services that share the requests; empty for a route over shards. */
  std::vector<weighted_service> services;
  /** One service per shard; empty for a route to a single backend server. */
  std::vector<std::string> shards;
  /** Whether a request may run more than once, so that it can be hedged and retried. */
  bool is_idempotent = false;
  /** Maximum time until the caller gets an answer or an error. */
  duration timeout{};
  /** Latency within which an answer has its full value to the caller. */
  duration target_latency{};
  /** Maximum number of backend servers per shard that one request is sent to. */
  int max_attempts = 1;
  /** 0 is the most urgent. */
  int priority = 0;
  /** Number of records in the merged answer of a route over shards. */
  int top_k = 0;
  /** Minimum share of the shards that must answer; below it the query fails. */
  double min_shard_ratio = 1.0;

  bool IsSharded() const { return !shards.empty(); }
  bool operator==(const route&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONFIG_ROUTE_H_
