#ifndef LIMPETLEVER_LIMITS_REQUEST_LIMIT_H_
#define LIMPETLEVER_LIMITS_REQUEST_LIMIT_H_

#include <optional>

#include "base/time_types.h"
#include "limits/limit_share.h"

namespace limpetlever {

/**
 * Keeps this host to its share of the requests that a backend server in need allows all hosts
 * together. The hosts do not communicate: the first ones in the server's order of hosts divide the
 * limit, as many as it allows one request a second at least, so that a fleet of any size cannot
 * send more than that by sending at the same moment. The others send a request from time to time
 * to find out whether the limit has ended.
 */
class request_limit {
 public:
  /** An answer of the server names a limit for all hosts together. */
  void OnNamed(double requests_per_s, instant now);
  /**
   * An answer to an attempt sent at `sent` names no limit. It ends the limit, unless the attempt
   * was sent before the limit was last named and its answer was delayed.
   */
  void OnNotNamed(instant sent);
  /** Another host has found that the limit has ended. */
  void OnEnded() { requests_per_s_.reset(); }
  /** The hosts have changed. */
  void SetShare(const limit_share& share, instant now);

  bool IsNamed() const { return requests_per_s_.has_value(); }
  /** The limit for all hosts together, in requests per second; 0 if there is none. */
  double requests_per_s() const { return requests_per_s_.value_or(0.0); }
  /** Whether this host tells the others when the limit has ended. */
  bool IsFirstHost() const { return share_.rank == 0; }
  /** Whether this host may send the server a request now. */
  bool MaySend(instant now) const { return NextSend(now) <= now; }
  /** When this host may send the server the next request. */
  instant NextSend(instant now) const;
  void OnSent(instant now);

 private:
  /** Number of hosts that divide the limit. */
  int SharingHosts() const;
  bool IsSharing() const { return share_.rank < SharingHosts(); }
  double OwnRequestsPerSecond() const;
  double Tokens(instant now) const;
  duration TrialInterval() const;

  std::optional<double> requests_per_s_;
  limit_share share_;
  instant named_at_;
  double tokens_ = 0.0;
  instant refilled_at_;
  /** When a host that has no part in the limit may send a request next. */
  instant next_trial_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_REQUEST_LIMIT_H_
