#ifndef LIMPETLEVER_MEMBERSHIP_RECENT_MAXIMUM_H_
#define LIMPETLEVER_MEMBERSHIP_RECENT_MAXIMUM_H_

#include "base/time_types.h"

namespace limpetlever {

/**
 * Largest number of hosts within a recent period. A host that is cut off regards the others as
 * dead; with the earlier, larger number it still takes only its own share of the fleet's limits.
 */
class recent_maximum {
 public:
  /** A count is returned until `retention` has passed since it was last reached. */
  explicit recent_maximum(duration retention) : retention_(retention) {}

  /** Records the current count; returns the largest recent one. */
  int Update(int count, instant now) {
    if (count >= value_ || now - reached_at_ > retention_) {
      value_ = count;
      reached_at_ = now;
    }
    return value_;
  }

 private:
  duration retention_;
  int value_ = 0;
  instant reached_at_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_MEMBERSHIP_RECENT_MAXIMUM_H_
