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
  /** Takes one extra attempt; false, and nothing is taken, when none is left. */
  bool Take();
  double tokens() const { return tokens_; }

 private:
  double tokens_ = 0.0;
  bool is_started_ = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_RETRY_BUDGET_H_
