#include "control/outage_detector.h"

namespace limpetlever {

namespace {

// A host that reads from the service calls it every 2 s at least, so that its calls fail for this
// time in an outage of 2.4 s, the shortest that matters with heartbeats of 1.2 s.
constexpr duration kMinFailingTime = std::chrono::milliseconds(400);

}  // namespace

void outage_detector::OnAnswered(instant now) {
  if (IsOut(now)) {
    returned_at_ = now;
  }
  failing_since_.reset();
  last_answer_ = now;
}

void outage_detector::OnUnanswered(instant sent) {
  // A call from before the last answer, such as a watch whose connection is lost, says nothing of
  // the time after that.
  if (sent >= last_answer_ && !failing_since_) {
    failing_since_ = sent;
  }
}

bool outage_detector::IsOut(instant now) const {
  return failing_since_ && now - *failing_since_ >= kMinFailingTime &&
         now - last_answer_ >= min_outage_;
}

}  // namespace limpetlever
