#ifndef LIMPETLEVER_REPLICAS_REPLICA_H_
#define LIMPETLEVER_REPLICAS_REPLICA_H_

#include <cstdint>
#include <string>

#include "base/socket_address.h"
#include "base/time_types.h"

namespace limpetlever {

/** What a backend server advertises about itself. */
struct replica {
  std::string id;
  std::string service;
  socket_address address;
  std::string data_centre;
  /** Number of requests that the server runs concurrently. */
  int slots = 1;
  bool is_draining = false;
  /** Remaining warm-up time at the moment of the advertisement. */
  duration warm_up_left{};
  /** Start time of the process in Unix milliseconds; differs after a restart with the same id. */
  std::int64_t started_ms = 0;
  /** Orders the entries of one process: each entry has a higher number than the one before it. */
  std::int64_t sequence = 0;

  bool operator==(const replica&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_REPLICAS_REPLICA_H_
