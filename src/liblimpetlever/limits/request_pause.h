#ifndef LIMPETLEVER_LIMITS_REQUEST_PAUSE_H_
#define LIMPETLEVER_LIMITS_REQUEST_PAUSE_H_

#include <optional>

#include "base/time_types.h"

namespace limpetlever {

/**
 * The pause that a backend server wants from this host: no request for a time that an answer
 * states. After it, one request at a time finds out whether the server accepts requests again, so
 * that the hosts do not all return with their full load.
 */
class request_pause {
 public:
  /** Longest pause that is kept; a longer wish costs the server one request in this time. */
  static constexpr duration kMaxPause = std::chrono::minutes(5);

  /**
   * An answer asks for no request for `wish`. It never shortens a pause that was asked for before.
   * `spread` (0 to 1) is this host's place among those that were asked at the same moment: the
   * hosts return one after another.
   */
  void OnAsked(duration wish, instant now, double spread);
  /** An answer to a request sent at `sent` asks for no pause. */
  void OnNotAsked(instant sent);
  void OnSent(instant now);

  /** Whether the server wants no request now, or has not answered one since. */
  bool IsActive() const { return until_.has_value(); }
  /** Whether the time that the server asked for has not passed. */
  bool IsPausing(instant now) const { return until_ && now < *until_; }
  /** When this host may send the server the next request. */
  instant NextSend(instant now) const;

 private:
  std::optional<instant> until_;
  /** When the request that finds out whether the server accepts requests was sent. */
  std::optional<instant> trial_sent_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_REQUEST_PAUSE_H_
