#ifndef LIMPETLEVER_MEMBERSHIP_RECENT_MAXIMUM_H_
#define LIMPETLEVER_MEMBERSHIP_RECENT_MAXIMUM_H_

#include "base/time_types.h"

namespace limpetlever {

/**
 * The largest recent number of hosts. A host that is cut off believes the others dead; with the
 * larger number it keeps to its own share of what the fleet may do.
 */
class recent_maximum {
 public:
  /** A count rules for `memory` after it was last seen. */
  explicit recent_maximum(duration memory) : memory_(memory) {}

  /** Takes the present count and returns the one to use. */
  int Update(int count, instant now) {
    if (count >= value_ || now - seen_ > memory_) {
      value_ = count;
      seen_ = now;
    }
    return value_;
  }

 private:
  duration memory_;
  int value_ = 0;
  instant seen_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_MEMBERSHIP_RECENT_MAXIMUM_H_
