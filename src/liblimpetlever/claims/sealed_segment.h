#ifndef LIMPETLEVER_CLAIMS_SEALED_SEGMENT_H_
#define LIMPETLEVER_CLAIMS_SEALED_SEGMENT_H_

#include <cstdint>

#include "base/time_types.h"

namespace limpetlever {

/**
 * Immutable part of a partition's journal. When the journal's value is full, its records move to a
 * value of their own.
 */
struct sealed_segment {
  std::int64_t number = 0;
  /** Latest expiry of the records in the segment. */
  wall_time expiry;

  bool operator==(const sealed_segment&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CLAIMS_SEALED_SEGMENT_H_
