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
 * Adaptive concurrency limit of one backend server, learned from its own answers only. Starts at 1.
 *
 * Regrowth after a fall follows the latency: while answers are slower than those of the warm
 * server, the limit is at most the share of the table's limit that the latency shows the server to
 * bear, and the full limit is open once the latency has been usual for a seventh of the time that
 * it took to become so. Without a known latency the limit stays 1 until the latency has stopped
 * falling, which is then presumed to be that of the warm server. This adapts to the server's own
 * warm-up, whatever its length. Not safe for use by several threads.
 */
class replica_limiter {
 public:
  /** `most` is the table's limit, at least 1. */
  explicit replica_limiter(int most);

  /** Changes the table's limit; a lower one is in force at once. */
  void SetMost(int most);
  /**
   * Tells the latency of a warm server that is known from elsewhere, for example from a former
   * owner or other replicas of the service. Ignored once own answers have shown it.
   */
  void SuggestUsualLatency(duration usual);

  /**
   * An attempt ran and took `elapsed`; `was_limited` says that all places of the limit were in use
   * before it finished. Only then does it count as evidence for a higher limit.
   */
  void OnSuccess(duration elapsed, bool was_limited, instant now);
  /** An attempt had no answer after `elapsed`. */
  void OnNoAnswer(duration elapsed, instant now);
  /** The server refused an attempt that was sent to it `elapsed` ago. */
  void OnShed(duration elapsed, instant now);
  /** A connection was reset or refused. */
  void OnConnectionReset(instant now);
  /**
   * An answer or status named this instance. An instance that was replaced before is ignored,
   * since a status may be stale. Returns whether a new instance has replaced a known one.
   */
  bool OnInstanceId(const std::string& instance_id, instant now);
  void OnDraining();
  /** The server takes work again after draining. */
  void OnReturned(instant now);

  int limit() const { return limit_; }
  int most() const { return most_; }
  /** Whether the limit is at most half of the table's, or nothing is known of the server yet. */
  bool cold() const;
  bool draining() const { return state_.IsIn("draining"); }
  /** State in the backend_server chart. */
  const std::string& state() const { return state_.state(); }
  /** The latency that own answers have shown while warm; zero when the server is not warm. */
  duration warm_latency() const;
  /** Whether the latency of the warm server is known, by suggestion or by own answers. */
  bool knows_usual_latency() const { return usual_.has_value(); }
  /** Usual time of an answer at present; zero when nothing is known. */
  duration usual_latency() const;

 private:
  void Record(duration elapsed, instant now);
  void Learn(duration elapsed);
  void WatchLatency(instant now);
  void WatchWarming(instant now);
  bool IsFromBeforeFall(duration elapsed, instant now) const;
  int Ceiling() const;
  void Grow(instant now);
  void FallTo(int limit, instant now);
  void FallCold(instant now);
  void NoteFall(instant now);

  int most_;
  int limit_ = 1;
  chart_state state_;

  /** Latency of the warm server; unset until known. */
  std::optional<duration> usual_;
  /** Whether `usual_` comes from a plateau and the full limit has not confirmed it. */
  bool is_usual_presumed_ = false;
  latency_window recent_;
  /** Of this warm-up, while no latency is known to compare to. */
  latency_trend trend_;
  int jumps_in_a_row_ = 0;
  int successes_ = 0;

  /** When the latest warm-up began, by what is known; unset before the first event. */
  std::optional<instant> warming_since_;
  std::optional<instant> fell_at_;
  std::optional<instant> warm_since_;
  instant hold_until_{};
  /** Slowest mean of this warm-up. */
  duration slowest_{};
  /** Lowest mean of this warm-up, and when it was last undercut clearly. */
  duration fastest_{};
  instant fastest_at_{};
  std::size_t unusual_in_a_row_ = 0;
  /** When the latency was last above the usual one. */
  instant unusual_at_ = instant::min();
  /** Whether the full limit is open to growth in this warm-up. */
  bool is_open_ = false;

  std::optional<instant> last_reset_;
  std::string instance_id_;
  std::deque<std::string> former_ids_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_REPLICA_LIMITER_H_
