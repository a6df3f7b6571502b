#ifndef LIMPETLEVER_REPLICAS_REPLICA_LOAD_H_
#define LIMPETLEVER_REPLICAS_REPLICA_LOAD_H_

#include <optional>
#include <set>

#include "base/time_types.h"
#include "replicas/reported_load.h"

namespace limpetlever {

/**
 * What this host observed of one backend server: attempts in flight, how its latency compares with
 * the usual one, and how often it fails. Observations fade, so that a server that recovered is
 * tried again.
 */
class replica_load {
 public:
  void OnSent(instant now);
  /** An attempt that was sent at `sent` ended with an answer; `usual` is the expected latency. */
  void OnAnswered(instant sent, instant now, duration usual);
  /** An attempt ended without an answer that counts, or was refused by the server. */
  void OnFailed(instant sent, instant now);
  /** An attempt was given up by this host. Its age is a lower bound of the server's latency. */
  void OnCancelled(instant sent, instant now, duration usual);
  /** The server stated its load in an answer. */
  void OnReport(const reported_load& report, instant now);
  /** No connection could be opened; holds until one is opened. */
  void OnUnreachable(instant now);
  void OnReachable() { unreachable_count_ = 0; }

  int in_flight() const { return static_cast<int>(sent_.size()); }
  /** Latency relative to the usual one; 1 is usual. */
  double Slowness(instant now) const;
  /** Share of recent attempts that failed, 0 to 1. */
  double FailureShare(instant now) const;
  /** Whether the oldest attempt in flight has lasted longer than `limit`. */
  bool IsStalled(instant now, duration limit) const;
  bool IsUnreachable() const { return unreachable_count_ > 0; }
  /** Whether the pause since the last failed try is over; the pauses grow. */
  bool IsTryDue(instant now) const { return now >= next_try_; }
  /** Requests of other hosts that the server last reported; 0 once the report is old. */
  int ReportedByOthers(instant now) const;

 private:
  void Forget(instant sent);
  void TakeLatency(duration latency, instant now, duration usual);

  std::multiset<instant> sent_;
  double slowness_ = 1.0;
  instant slowness_at_;
  double last_ratio_ = 1.0;
  double failure_share_ = 0.0;
  instant failure_at_;
  int unreachable_count_ = 0;
  instant next_try_;
  int reported_others_ = 0;
  std::optional<instant> reported_at_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_REPLICAS_REPLICA_LOAD_H_
