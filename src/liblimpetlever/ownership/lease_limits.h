#ifndef LIMPETLEVER_OWNERSHIP_LEASE_LIMITS_H_
#define LIMPETLEVER_OWNERSHIP_LEASE_LIMITS_H_

#include "base/time_types.h"

namespace limpetlever {

/** Time limits of leases and attempts; must be equal on all hosts of a region. */
struct lease_limits {
  /** How long a confirmation of an epoch is valid; less than 3 s with the clock margin. */
  duration lease_duration = std::chrono::milliseconds(2500);
  /** Longest time that a backend server spends on an attempt, from the owner's last lease check. */
  duration max_attempt_time = std::chrono::milliseconds(2000);

  bool operator==(const lease_limits&) const = default;
};

/** The longest that `span` by another host's clock can be by this host's: `span` plus 10%. */
constexpr duration WithClockMargin(duration span) {
  return span + (span + duration(9)) / 10;
}

/** How long a new owner waits for a former owner that has not released its replicas. */
constexpr duration HandoverWait(const lease_limits& limits) {
  return WithClockMargin(limits.lease_duration + limits.max_attempt_time);
}

}  // namespace limpetlever

#endif  // LIMPETLEVER_OWNERSHIP_LEASE_LIMITS_H_
