#ifndef LIMPETLEVER_LIMITS_WARM_UP_LIMIT_H_
#define LIMPETLEVER_LIMITS_WARM_UP_LIMIT_H_

#include <algorithm>

#include "base/time_types.h"
#include "limits/limit_share.h"

namespace limpetlever {

/**
 * Keeps this host to its share of the requests that a cold backend server can handle from all hosts
 * together. The hosts do not communicate: the first ones in the server's order of hosts divide the
 * limit and send their requests at even intervals, so that they neither add up to more than the
 * limit in any second nor send together. A host without a part sends nothing while the server is
 * cold. The limit holds with a margin for hosts that believe in different fleets.
 */
class warm_up_limit {
 public:
  /**
   * The configuration names `requests_per_s` as what a cold server can handle (0: no limit), and
   * `warm_up` as the time for which a server is cold after its start.
   */
  void SetService(double requests_per_s, duration warm_up, instant now);
  /** The hosts have changed. `is_settled` is false on a host that does not know all others yet. */
  void SetShare(const limit_share& share, bool is_settled, instant now);
  /** The server says that it is cold until `until`; a time that has passed: that it is warm. */
  void OnColdUntil(instant until, instant now);
  /**
   * The server could not be reached: its process may have ended, and a new one starts cold. That is
   * assumed for the time of a warm-up, unless a health check shows otherwise.
   */
  void OnUnreachable(instant now);
  /** A health check was answered; what it says of the warm-up goes to OnColdUntil. */
  void OnChecked(instant now) { assumed_until_ = std::min(assumed_until_, now); }

  /** Whether the configuration names a limit for cold servers of this service. */
  bool IsConfigured() const { return requests_per_s_ > 0.0; }
  /** Whether the server is or may be cold, and the number of its requests is limited. */
  bool IsLimiting(instant now) const { return IsConfigured() && now < End(); }
  /** Whether the server may be cold although it has not said so. */
  bool IsAssumed(instant now) const { return IsLimiting(now) && now < assumed_until_; }
  /** Until when the server is cold by its own account. */
  instant cold_until() const { return cold_until_; }
  /** Whether this host comes first in the server's order of hosts. */
  bool IsFirstHost() const { return is_settled_ && share_.rank == 0; }
  /** When this host may send the server the next request. */
  instant NextSend(instant now) const;
  void OnSent(instant now);

 private:
  instant End() const { return std::max(cold_until_, assumed_until_); }
  int SharingHosts() const;
  bool IsSharing() const { return is_settled_ && share_.rank < SharingHosts(); }
  /** Time between two requests of this host, if it has a part in the limit. */
  duration Interval() const;
  /** Makes this host wait for an interval, since what was sent before counts as well. */
  void Restart(instant now);

  double requests_per_s_ = 0.0;
  duration warm_up_{};
  limit_share share_;
  bool is_settled_ = false;
  instant cold_until_;
  instant assumed_until_;
  instant next_send_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_WARM_UP_LIMIT_H_
