#include <criterion/criterion.h>

#include "replicas/replica_load.h"

using namespace limpetlever;

namespace {

constexpr duration kUsual = std::chrono::milliseconds(10);
const instant start{std::chrono::seconds(50)};

void Answer(replica_load& load, instant sent, int ms) {
  load.OnSent(sent);
  load.OnAnswered(sent, sent + std::chrono::milliseconds(ms), kUsual);
}

}  // namespace

// Guards against avoiding a server for one pause, which every server has now and then.
Test(replica_load, one_straggler_makes_no_slow_server) {
  replica_load load;
  Answer(load, start, 10);
  Answer(load, start, 100);
  cr_assert(load.Slowness(start) < 1.1);
}

// Guards against keeping on to use a server that has turned slow, and against never trying it
// again.
Test(replica_load, a_slow_server_is_known_and_tried_again) {
  replica_load load;
  for (int i = 0; i < 6; ++i) {
    Answer(load, start, 80);
  }
  cr_assert(load.Slowness(start) > 4.0);
  cr_assert(load.Slowness(start + std::chrono::seconds(12)) < 1.1);
}

// Guards against a silent server that looks idle because its attempts were given up.
Test(replica_load, attempts_given_up_count_as_latency) {
  replica_load load;
  for (int i = 0; i < 6; ++i) {
    load.OnSent(start);
    load.OnCancelled(start, start + std::chrono::milliseconds(300), kUsual);
  }
  cr_assert(load.in_flight() == 0);
  cr_assert(load.Slowness(start) > 4.0);
}

// Guards against a caller that leaves early making a server look slow.
Test(replica_load, an_early_cancellation_says_nothing) {
  replica_load load;
  for (int i = 0; i < 6; ++i) {
    load.OnSent(start);
    load.OnCancelled(start, start + std::chrono::milliseconds(2), kUsual);
  }
  cr_assert(load.Slowness(start) == 1.0);
}

// Guards against a report that is taken for the present long after.
Test(replica_load, a_report_is_of_the_moment) {
  replica_load load;
  load.OnReport({.running = 2, .waiting = 5, .slots = 2}, start);
  cr_assert(load.ReportedByOthers(start) == 7);
  cr_assert(load.ReportedByOthers(start + std::chrono::seconds(1)) == 0);
}

// Guards against a storm of connections to a dark server.
Test(replica_load, tries_of_an_unreachable_server_grow_apart) {
  replica_load load;
  load.OnUnreachable(start);
  cr_assert(load.IsUnreachable());
  cr_assert(!load.IsTryDue(start + std::chrono::milliseconds(100)));
  cr_assert(load.IsTryDue(start + std::chrono::milliseconds(300)));
  load.OnUnreachable(start);
  cr_assert(!load.IsTryDue(start + std::chrono::milliseconds(300)));
  load.OnReachable();
  cr_assert(!load.IsUnreachable());
}
