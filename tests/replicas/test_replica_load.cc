#include <criterion/criterion.h>

#include "replicas/replica_load.h"

using namespace limpetlever;

namespace {

constexpr duration kTypicalLatency = std::chrono::milliseconds(10);
const instant start{std::chrono::seconds(50)};

void Answer(replica_load& load, instant sent, int ms) {
  load.OnSent(sent);
  load.OnAnswered(sent, sent + std::chrono::milliseconds(ms), kTypicalLatency);
}

}  // namespace

// Guards against avoiding a server after a single pause, which every server has from time to time.
Test(replica_load, one_straggler_does_not_mark_a_server_as_slow) {
  replica_load load;
  Answer(load, start, 10);
  Answer(load, start, 100);
  cr_assert(load.LatencyRatio(start) < 1.1);
}

// Guards against continued use of a server that has become slow, and against never using it
// again.
Test(replica_load, a_slow_server_is_detected_and_later_used_again) {
  replica_load load;
  for (int i = 0; i < 6; ++i) {
    Answer(load, start, 80);
  }
  cr_assert(load.LatencyRatio(start) > 4.0);
  cr_assert(load.LatencyRatio(start + std::chrono::seconds(12)) < 1.1);
}

// Guards against treating a silent server as fast because its attempts were cancelled.
Test(replica_load, cancelled_attempts_count_as_latency) {
  replica_load load;
  for (int i = 0; i < 6; ++i) {
    load.OnSent(start);
    load.OnCancelled(start, start + std::chrono::milliseconds(300), kTypicalLatency);
  }
  cr_assert(load.in_flight() == 0);
  cr_assert(load.LatencyRatio(start) > 4.0);
}

// Guards against treating a server as slow because a caller cancelled early.
Test(replica_load, an_early_cancellation_is_ignored) {
  replica_load load;
  for (int i = 0; i < 6; ++i) {
    load.OnSent(start);
    load.OnCancelled(start, start + std::chrono::milliseconds(2), kTypicalLatency);
  }
  cr_assert(load.LatencyRatio(start) == 1.0);
}

// Guards against using a load report that is out of date.
Test(replica_load, a_stale_report_is_ignored) {
  replica_load load;
  load.OnReport({.running = 2, .waiting = 5, .slots = 2}, start);
  cr_assert(load.LoadFromOtherHosts(start) == 7);
  cr_assert(load.LoadFromOtherHosts(start + std::chrono::seconds(1)) == 0);
}

// Guards against frequent connection attempts to an unreachable server.
Test(replica_load, connection_attempts_to_an_unreachable_server_back_off) {
  replica_load load;
  load.OnUnreachable(start);
  cr_assert(load.IsUnreachable());
  cr_assert(!load.IsRetryDue(start + std::chrono::milliseconds(100)));
  cr_assert(load.IsRetryDue(start + std::chrono::milliseconds(300)));
  load.OnUnreachable(start);
  cr_assert(!load.IsRetryDue(start + std::chrono::milliseconds(300)));
  load.OnReachable();
  cr_assert(!load.IsUnreachable());
}
