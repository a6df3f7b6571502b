#ifndef LIMPETLEVER_QUERY_RETRY_BUDGET_H_
#define LIMPETLEVER_QUERY_RETRY_BUDGET_H_

#include <optional>

#include "base/time_types.h"
#include "query/retry_terms.h"

namespace limpetlever {

/**
 * Extra attempts of one service on this host. Requests and time earn parts of an extra attempt, and
 * a fixed number may be saved, so that all hosts together stay within the bound of the fleet
 * without a message.
 */
class retry_budget {
 public:
  void OnRequest(const retry_terms& terms, instant now);
  /** Takes one retry; false, and nothing is taken, when none is left. */
  bool TakeRetry(const retry_terms& terms, instant now);
  /**
   * Takes one hedge, from the upper part of what may be saved: a shard that has failed is lost
   * without its retry, one that straggles may still answer.
   */
  bool TakeHedge(const retry_terms& terms, instant now);
  double tokens() const { return tokens_; }

 private:
  void Earn(double count, const retry_terms& terms);
  void EarnByTime(const retry_terms& terms, instant now);
  bool Take();

  double tokens_ = 0.0;
  /** Until when time has been counted; unset before the first use. */
  std::optional<instant> earned_until_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_RETRY_BUDGET_H_
