#include <criterion/criterion.h>

#include <chrono>

#include "control/outage_detector.h"

using namespace limpetlever;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr duration kMinOutage = milliseconds(2400);
constexpr instant kStart{seconds(100)};

}  // namespace

// Guards against servers that are kept in use after their removal because one call was refused.
Test(outage_detector, a_failed_call_is_no_outage) {
  outage_detector detector(kMinOutage);
  detector.OnAnswered(kStart);
  detector.OnUnanswered(kStart + seconds(1));
  detector.OnAnswered(kStart + milliseconds(2300));
  cr_assert(!detector.returned_at());
  // After a long time without a call.
  detector.OnUnanswered(kStart + seconds(9));
  detector.OnAnswered(kStart + milliseconds(9300));
  cr_assert(!detector.returned_at());
}

// Guards against a watch that waited for long and was cut, which looks like an outage if only its
// length counts.
Test(outage_detector, a_lost_call_from_before_the_last_answer_is_no_outage) {
  outage_detector detector(kMinOutage);
  detector.OnAnswered(kStart);
  const instant watch_sent = kStart + seconds(1);
  detector.OnAnswered(kStart + seconds(10));
  detector.OnUnanswered(watch_sent);
  detector.OnAnswered(kStart + seconds(15));
  cr_assert(!detector.returned_at());
}

// Guards against live servers that are dropped because their entries lapsed in an outage.
Test(outage_detector, an_outage_ends_with_the_first_answer) {
  outage_detector detector(kMinOutage);
  detector.OnAnswered(kStart);
  const instant failed = kStart + seconds(1);
  detector.OnUnanswered(failed);
  cr_assert(!detector.IsOut(failed));
  cr_assert(detector.IsOut(kStart + kMinOutage));
  const instant returned = kStart + seconds(5);
  detector.OnAnswered(returned);
  cr_assert(!detector.IsOut(returned));
  // Later answers and a later failure do not change when it returned.
  detector.OnAnswered(returned + seconds(3));
  detector.OnUnanswered(returned + seconds(4));
  detector.OnAnswered(returned + seconds(5));
  cr_assert(detector.returned_at() == returned);
}

// Guards against a host that starts while the service is away and drops live servers after it.
Test(outage_detector, an_outage_at_the_start_counts) {
  outage_detector detector(kMinOutage);
  detector.OnUnanswered(kStart);
  detector.OnAnswered(kStart + milliseconds(500));
  cr_assert(detector.returned_at() == kStart + milliseconds(500));
}
