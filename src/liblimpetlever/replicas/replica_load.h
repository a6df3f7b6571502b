#ifndef LIMPETLEVER_REPLICAS_REPLICA_LOAD_H_
#define LIMPETLEVER_REPLICAS_REPLICA_LOAD_H_

#include <optional>
#include <set>

#include "base/time_types.h"
#include "replicas/reported_load.h"

namespace limpetlever {

/**
 * What this host has observed of one backend server: attempts in flight, latency relative to the
 * typical one, and share of failures. Observations decay over time, so that a server that has
 * recovered is used again.
 */
class replica_load {
 public:
  void OnSent(instant now);
  /** The attempt sent at `sent` succeeded; `typical_latency` is the median of its route. */
  void OnAnswered(instant sent, instant now, duration typical_latency);
  /** The attempt sent at `sent` failed or was refused by the server. */
  void OnFailed(instant sent, instant now);
  /** The attempt was withdrawn before it was sent. */
  void OnWithdrawn(instant sent) { RemoveInFlight(sent); }
  /** This host cancelled the attempt, whose age is a lower bound of the server's latency. */
  void OnCancelled(instant sent, instant now, duration typical_latency);
  /** An answer of the server stated its load. */
  void OnReport(const reported_load& report, instant now);
  /** No connection could be opened; the server is unreachable until OnReachable(). */
  void OnUnreachable(instant now);
  void OnReachable() { unreachable_count_ = 0; }

  int in_flight() const { return static_cast<int>(sent_.size()); }
  /** Latency divided by the typical latency: 1 for a healthy server, more for a slow one. */
  double LatencyRatio(instant now) const;
  /** Share of recent attempts that failed, 0 to 1. */
  double FailureShare(instant now) const;
  /** Whether the oldest attempt in flight is older than `limit`. */
  bool IsStalled(instant now, duration limit) const;
  bool IsUnreachable() const { return unreachable_count_ > 0; }
  /** Whether the backoff since the last failed connection attempt is over. */
  bool IsRetryDue(instant now) const { return now >= next_retry_at_; }
  /** Number of requests of other hosts in the server's last report; 0 once the report is stale. */
  int LoadFromOtherHosts(instant now) const;

 private:
  void RemoveInFlight(instant sent);
  void RecordLatency(duration latency, instant now, duration typical_latency);

  std::multiset<instant> sent_;
  double latency_ratio_ = 1.0;
  instant latency_ratio_at_;
  double last_ratio_ = 1.0;
  double failure_share_ = 0.0;
  instant failure_at_;
  int unreachable_count_ = 0;
  instant next_retry_at_;
  int load_from_other_hosts_ = 0;
  std::optional<instant> reported_at_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_REPLICAS_REPLICA_LOAD_H_
