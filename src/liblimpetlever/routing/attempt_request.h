#ifndef LIMPETLEVER_ROUTING_ATTEMPT_REQUEST_H_
#define LIMPETLEVER_ROUTING_ATTEMPT_REQUEST_H_

#include <cstdint>
#include <memory>
#include <string>

#include "base/time_types.h"
#include "routing/attempt_id.h"

namespace limpetlever {

/** One attempt at one shard of a query, or at a submission, to be sent to one backend server. */
struct attempt_request {
  attempt_id id;
  /** Address of the backend server. */
  std::string replica;
  std::string workload;
  std::int64_t snapshot_version = 0;
  std::shared_ptr<const std::string> body;
  /** Time until the deadline, counted from when the request was sent. */
  duration time_limit{};
  bool urgent = false;
  std::uint64_t fingerprint = 0;
  /** Idempotency key of a submission; empty for a query. */
  std::string key;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_ATTEMPT_REQUEST_H_
