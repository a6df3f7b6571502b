#ifndef LIMPETLEVER_CONTROL_OUTAGE_DETECTOR_H_
#define LIMPETLEVER_CONTROL_OUTAGE_DETECTOR_H_

#include <optional>

#include "base/time_types.h"

namespace limpetlever {

/**
 * Detects outages of the key-value service from the outcomes of this host's calls to it, and when
 * it has returned. An outage counts only if the entry of a live server can lapse in it: a refused
 * call or a lost connection is none, nor is a long time without a call.
 */
class outage_detector {
 public:
  /** `min_outage` is the shortest outage in which the entry of a live server can lapse. */
  explicit outage_detector(duration min_outage) : min_outage_(min_outage) {}

  void SetMinOutage(duration min_outage) { min_outage_ = min_outage; }
  /** The service has answered a call, also if it rejected that for a reason other than its state.
   */
  void OnAnswered(instant now);
  /** A call that was sent at `sent` got no answer, or the answer that the service is down. */
  void OnUnanswered(instant sent);
  /** When the service has answered again after its last outage; nullopt if there was none. */
  const std::optional<instant>& returned_at() const { return returned_at_; }
  /** Whether the service is in an outage. */
  bool IsOut(instant now) const;

 private:
  duration min_outage_;
  instant last_answer_;
  /** When the first failed call since the last answer was sent. */
  std::optional<instant> failing_since_;
  std::optional<instant> returned_at_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_OUTAGE_DETECTOR_H_
