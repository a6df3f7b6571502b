#ifndef LIMPETLEVER_REPLICAS_REPLICA_H_
#define LIMPETLEVER_REPLICAS_REPLICA_H_

#include <cstdint>
#include <string>

#include "base/socket_address.h"
#include "base/time_types.h"

namespace limpetlever {

/** What a backend server states of itself. */
struct replica {
  std::string id;
  std::string service;
  socket_address address;
  std::string data_centre;
  /** Requests that it runs at once. */
  int slots = 1;
  bool is_draining = false;
  /** How much longer it stays cold, as of when it stated so. */
  duration warm_up_left{};
  /** Start of its process, Unix milliseconds; tells two lives under one id apart. */
  std::int64_t started_ms = 0;

  bool operator==(const replica&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_REPLICAS_REPLICA_H_
