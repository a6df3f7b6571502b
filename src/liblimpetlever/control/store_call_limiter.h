#ifndef LIMPETLEVER_CONTROL_STORE_CALL_LIMITER_H_
#define LIMPETLEVER_CONTROL_STORE_CALL_LIMITER_H_

#include <array>
#include <cstdint>
#include <optional>

#include "base/random_source.h"
#include "base/time_types.h"
#include "control/call_kind.h"

namespace limpetlever {

/**
 * Limits the calls of one host to the key-value service: one in flight per kind, and a randomised
 * exponential backoff of at most 0.1 s after the first failure, doubling up to 5 s. The random part
 * prevents all hosts from calling at the same time once the service is available again.
 */
class store_call_limiter {
 public:
  explicit store_call_limiter(std::uint64_t seed) : random_(seed) {}

  /** Returns whether a call of this kind may start; if so, it is recorded as started. */
  bool TryStart(call_kind kind, instant now);

  /** Reports the end of a call. A conflict or a missing key counts as answered by the service. */
  void Finish(call_kind kind, bool service_answered, instant now);

  /** The earliest time for the next call of this kind; nullopt while one is in flight. */
  std::optional<instant> EarliestStart(call_kind kind) const;

  /** Whether, of each kind that has been called, the last call was not answered by the service. */
  bool IsStoreUnavailable() const;

 private:
  struct kind_state {
    bool in_flight = false;
    bool has_started = false;
    int consecutive_failures = 0;
    instant not_before;
  };
  random_source random_;
  std::array<kind_state, kCallKindCount> kinds_{};
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_STORE_CALL_LIMITER_H_
