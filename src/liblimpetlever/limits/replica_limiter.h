#ifndef LIMPETLEVER_LIMITS_REPLICA_LIMITER_H_
#define LIMPETLEVER_LIMITS_REPLICA_LIMITER_H_

#include <deque>
#include <optional>
#include <string>

#include "base/time_types.h"
#include "chart/chart_state.h"
#include "limits/latency_trend.h"
#include "limits/latency_window.h"

namespace limpetlever {

/**
 * Adaptive concurrency limit of one backend server, which starts at 1 and depends only on the
 * outcomes of the server's own attempts.
 *
 * After a reduction the limit grows again as the latency falls. While answers are slower than the
 * reference latency, that of the warm server, the limit is bounded by the capacity estimated from
 * the latency. The full limit is allowed once the latency has stayed at the reference for a seventh
 * of the time that it took to get there. Without a reference the limit stays 1 until the latency
 * stops falling; that latency is then presumed to be the reference. The limit thus adapts to a
 * warm-up of any length. Not thread-safe.
 */
class replica_limiter {
 public:
  /** `max_limit` is the limit in the table; values below 1 count as 1. */
  explicit replica_limiter(int max_limit);

  /** Changes the table's limit; a lower one takes effect immediately. */
  void SetMaxLimit(int max_limit);
  /**
   * Sets the reference latency to one that is known from elsewhere, for example from the previous
   * owner or from other replicas of the service. Ignored if there is a reference already.
   */
  void SuggestReferenceLatency(duration reference);

  /**
   * An attempt succeeded after `elapsed`. `was_limited` states whether the limit was fully used
   * before it finished; only then does the success count towards a higher limit.
   */
  void OnSuccess(duration elapsed, bool was_limited, instant now);
  /** An attempt had no answer within its time limit; `elapsed` is its age. */
  void OnNoAnswer(duration elapsed, instant now);
  /** The server refused an attempt that was sent `elapsed` ago. */
  void OnShed(duration elapsed, instant now);
  /** A connection was reset or refused. */
  void OnConnectionReset(instant now);
  /**
   * An answer or status named this instance of the server. Instances that have already been
   * replaced are ignored, since a status may be stale. Returns whether a new instance has replaced
   * a known one, which means that the server was restarted.
   */
  bool OnInstanceId(const std::string& instance_id, instant now);
  void OnDraining();
  /** The server accepts attempts again after draining; it is treated as cold. */
  void OnReturned(instant now);

  int limit() const { return limit_; }
  int max_limit() const { return max_limit_; }
  /** Whether the limit is at most half of the table's, or the state is "cold" or "draining". */
  bool cold() const;
  bool draining() const { return state_.IsIn("draining"); }
  /** State of the server in the backend_server chart. */
  const std::string& state() const { return state_.state(); }
  /** The reference latency while the server is warm; zero when it is not. */
  duration warm_latency() const;
  /** Whether there is a reference latency, suggested or learned from answers. */
  bool has_reference_latency() const { return reference_latency_.has_value(); }
  /** Expected latency of an attempt that starts now; zero if there is no estimate. */
  duration expected_latency() const;

 private:
  void Record(duration elapsed, instant now);
  void UpdateReference(duration elapsed);
  void CheckLatencyRise(instant now);
  void TrackWarmUp(instant now);
  bool StartedBeforeReduction(duration elapsed, instant now) const;
  int LimitCeiling() const;
  void Grow(instant now);
  void ReduceLimit(int limit, instant now);
  void ResetToCold(instant now);
  void OnLimitReduced(instant now);

  int max_limit_;
  int limit_ = 1;
  chart_state state_;

  /** Latency of the warm server, with which answers are compared; unset until known. */
  std::optional<duration> reference_latency_;
  /** Whether the reference comes from a plateau and is not yet confirmed at the full limit. */
  bool is_reference_presumed_ = false;
  latency_window recent_;
  /** Latencies of the current warm-up, recorded while there is no reference. */
  latency_trend trend_;
  int consecutive_jumps_ = 0;
  int successes_ = 0;

  /** Estimated start of the latest warm-up; unset before the first event. */
  std::optional<instant> warm_up_started_at_;
  std::optional<instant> reduced_at_;
  std::optional<instant> warm_at_;
  instant no_growth_until_{};
  /** Highest window mean of the current warm-up. */
  duration slowest_mean_{};
  /** Lowest window mean since the last reduction of the limit, and when it last fell clearly. */
  duration fastest_mean_{};
  instant fastest_mean_at_{};
  std::size_t consecutive_slow_windows_ = 0;
  /** When the latency was last above the reference. */
  instant last_slow_at_ = instant::min();
  /** Whether the limit may grow to the table's limit in the current warm-up. */
  bool is_full_limit_open_ = false;

  std::optional<instant> last_reset_;
  std::string instance_id_;
  std::deque<std::string> former_ids_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_REPLICA_LIMITER_H_
