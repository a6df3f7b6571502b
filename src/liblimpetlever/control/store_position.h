#ifndef LIMPETLEVER_CONTROL_STORE_POSITION_H_
#define LIMPETLEVER_CONTROL_STORE_POSITION_H_

#include <compare>
#include <cstdint>

namespace limpetlever {

/**
 * A point in the history of the key-value store. Revisions order what was written in one era; the
 * store begins another one when it comes back from a copy, and gives revisions out again.
 */
struct store_position {
  /** 0 if the store does not name its era. */
  std::int64_t era = 0;
  std::int64_t revision = 0;

  auto operator<=>(const store_position&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_STORE_POSITION_H_
