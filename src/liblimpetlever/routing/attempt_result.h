#ifndef LIMPETLEVER_ROUTING_ATTEMPT_RESULT_H_
#define LIMPETLEVER_ROUTING_ATTEMPT_RESULT_H_

#include <cstdint>
#include <string>

#include "base/time_types.h"
#include "base/verdict.h"
#include "routing/attempt_id.h"

namespace limpetlever {

/** The outcome of one attempt, as the owner of the replica reports it. */
struct attempt_result {
  attempt_id id;
  std::string replica;
  verdict outcome;
  std::string body;
  std::int64_t snapshot_version = 0;
  /** Time that the backend server took; zero if the attempt was not sent to it. */
  duration elapsed{};
  /**
   * The owner's concurrency limit and requests in flight for this replica; hints for the choice of
   * replicas. A limit of 0 means that none was reported.
   */
  int limit = 0;
  int in_flight = 0;

  bool operator==(const attempt_result&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_ATTEMPT_RESULT_H_
