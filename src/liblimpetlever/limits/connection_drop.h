#ifndef LIMPETLEVER_LIMITS_CONNECTION_DROP_H_
#define LIMPETLEVER_LIMITS_CONNECTION_DROP_H_

#include <cstdint>

namespace limpetlever {

/**
 * Why a connection is closed: it was silent although the server works, or it was idle for too long.
 */
enum class drop_reason { silent, idle };

/** A connection that must be closed. */
struct connection_drop {
  std::uint64_t generation = 0;
  drop_reason reason = drop_reason::idle;

  bool operator==(const connection_drop&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_CONNECTION_DROP_H_
