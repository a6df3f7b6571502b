#include <criterion/criterion.h>

#include "limits/replica_limiter.h"

using namespace limpetlever;
using std::chrono::milliseconds;

namespace {

constexpr duration kWarmLatency = milliseconds(10);

/** Reports `count` successes, one per `latency`, with the limit fully used. */
instant Feed(replica_limiter& limiter, int count, duration latency, instant now) {
  for (int i = 0; i < count; ++i) {
    now += latency;
    limiter.OnSuccess(latency, true, now);
  }
  return now;
}

}  // namespace

// Guards against a limit that is not reduced on the evidence listed in design section 5.4.
Test(replica_limiter, the_limit_is_reduced_on_each_kind_of_evidence) {
  const auto warm = [](instant& now) {
    replica_limiter limiter(8);
    limiter.OnInstanceId("one", now);
    now = Feed(limiter, 400, kWarmLatency, now);
    cr_assert(limiter.limit() == 8 && limiter.state() == "warm" && !limiter.cold());
    return limiter;
  };
  instant now{};
  replica_limiter shed = warm(now);
  shed.OnShed(milliseconds(1), now + milliseconds(1));
  cr_assert(shed.limit() == 4);
  shed.OnShed(milliseconds(5), now + milliseconds(2));
  cr_assert(shed.limit() == 4, "a refusal of an attempt sent before the reduction counts again");
  replica_limiter slow = warm(now);
  Feed(slow, 31, kWarmLatency * 4, now);
  cr_assert(slow.limit() == 4);
  replica_limiter jump = warm(now);
  now = Feed(jump, 2, kWarmLatency * 20, now);
  cr_assert(jump.limit() == 8, "two stragglers are no evidence");
  Feed(jump, 1, kWarmLatency * 20, now);
  cr_assert(jump.limit() == 1);
  replica_limiter restarted = warm(now);
  cr_assert(restarted.OnInstanceId("two", now) && restarted.limit() == 1 && restarted.cold());
  cr_assert(!restarted.OnInstanceId("one", now), "a stale status");
  replica_limiter reset = warm(now);
  reset.OnConnectionReset(now);
  reset.OnConnectionReset(now + milliseconds(1001));
  cr_assert(reset.limit() == 8);
  reset.OnConnectionReset(now + milliseconds(2001));
  cr_assert(reset.limit() == 1);
  replica_limiter lowered = warm(now);
  lowered.SetMaxLimit(3);
  cr_assert(lowered.limit() == 3);
}

// Guards against more than one attempt on a server that may be cold while there is no reference
// latency; the server becomes 10 times faster within 10 s.
Test(replica_limiter, unknown_latency_keeps_the_limit_at_one_until_it_stops_falling) {
  replica_limiter limiter(8);
  limiter.OnInstanceId("one", {});
  instant now{};
  while (now < instant(std::chrono::seconds(10))) {
    const auto age = std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    now = Feed(limiter, 1, kWarmLatency + (milliseconds(10'000) - age) / 111, now);
    cr_assert(limiter.limit() == 1, "limit %d at %d ms", limiter.limit(),
              static_cast<int>(age.count()));
  }
  now = Feed(limiter, 400, kWarmLatency, now);
  cr_assert(limiter.limit() == 8);
}

// Guards against a limit that never grows again because a restarted server stays slower.
Test(replica_limiter, a_server_that_stays_slower_regains_its_limit) {
  replica_limiter limiter(2);
  limiter.OnInstanceId("one", {});
  instant now = Feed(limiter, 400, kWarmLatency, {});
  limiter.OnInstanceId("two", now);
  Feed(limiter, 2000, kWarmLatency * 2, now);
  cr_assert(limiter.limit() == 2);
}
