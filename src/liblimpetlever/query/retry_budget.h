#ifndef LIMPETLEVER_QUERY_RETRY_BUDGET_H_
#define LIMPETLEVER_QUERY_RETRY_BUDGET_H_

#include <optional>

#include "base/time_types.h"
#include "query/retry_limits.h"

namespace limpetlever {

/**
 * Token bucket that limits the extra attempts (hedges and retries) of one service on this host.
 * Each request and the passage of time add fractions of a token, up to a fixed burst. The limits
 * are chosen so that all hosts together stay within the fleet's bound without communication.
 */
class retry_budget {
 public:
  /** Adds the tokens of one request of a caller. */
  void OnRequest(const retry_limits& limits, instant now);
  /** Takes a token for a retry; returns false if less than one token is left. */
  bool TakeRetry(const retry_limits& limits, instant now);
  /**
   * Takes a token for a hedge; returns false if the remaining tokens are reserved for retries. A
   * failed shard is lost without its retry, while a straggler may still answer without a hedge.
   */
  bool TakeHedge(const retry_limits& limits, instant now);
  double tokens() const { return tokens_; }

 private:
  void AddTokens(double count, const retry_limits& limits);
  void RefillByTime(const retry_limits& limits, instant now);
  bool TakeToken();

  double tokens_ = 0.0;
  /** Time up to which tokens have been added; unset before the first use. */
  std::optional<instant> refilled_at_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_RETRY_BUDGET_H_
