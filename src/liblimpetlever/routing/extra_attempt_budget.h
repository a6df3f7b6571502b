#ifndef LIMPETLEVER_ROUTING_EXTRA_ATTEMPT_BUDGET_H_
#define LIMPETLEVER_ROUTING_EXTRA_ATTEMPT_BUDGET_H_

#include <cstdint>

namespace limpetlever {

/**
 * Token budget for the extra attempts of one service: hedges are limited to 3% of first attempts,
 * hedges and retries together to 10%. It starts empty, so no extra attempt precedes the first
 * attempts that earn it.
 */
class extra_attempt_budget {
 public:
  /** Adds 3% of a hedge and 10% of an extra attempt to the budget. */
  void OnFirstAttempt();

  /** Takes one hedge from the budget; returns false and takes nothing if there is none. */
  bool TakeHedge();
  /**
   * Takes one hedge if at least half of the full hedge budget remains afterwards. For attempts that
   * have only just passed the hedge delay, so that the other half is kept for real stragglers.
   */
  bool TakeEarlyHedge();
  /** Takes one retry from the budget; returns false and takes nothing if there is none. */
  bool TakeRetry();

  std::int64_t first_attempts() const { return first_attempts_; }
  std::int64_t hedges() const { return hedges_; }
  std::int64_t retries() const { return retries_; }

 private:
  // In hundredths of an attempt. Integers, so that rounding errors never grant an extra attempt.
  std::int64_t hedge_tokens_ = 0;
  std::int64_t extra_tokens_ = 0;
  std::int64_t first_attempts_ = 0;
  std::int64_t hedges_ = 0;
  std::int64_t retries_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_EXTRA_ATTEMPT_BUDGET_H_
