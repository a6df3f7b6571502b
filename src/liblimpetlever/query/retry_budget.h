#ifndef LIMPETLEVER_QUERY_RETRY_BUDGET_H_
#define LIMPETLEVER_QUERY_RETRY_BUDGET_H_

#include "query/retry_terms.h"

namespace limpetlever {

/**
 * Extra attempts of one service on this host. Each request earns a part of an extra attempt, and a
 * fixed number may be saved, so that all hosts together stay within the bound of the fleet without
 * a message.
 */
class retry_budget {
 public:
  void OnRequest(const retry_terms& terms);
  /** Takes one retry; false, and nothing is taken, when none is left. */
  bool TakeRetry();
  /**
   * Takes one hedge, from the upper part of what may be saved: a shard that has failed is lost
   * without its retry, one that straggles may still answer.
   */
  bool TakeHedge(const retry_terms& terms);
  double tokens() const { return tokens_; }

 private:
  double tokens_ = 0.0;
  bool is_started_ = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_RETRY_BUDGET_H_
