#include <criterion/criterion.h>

#include "limits/connection_health.h"

using namespace limpetlever;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against closing the connections of a slow server as silent, and against keeping a silent
// connection.
Test(connection_health, a_silent_connection_is_dropped_once_another_one_works) {
  connection_health health(milliseconds(6), 3);
  instant now{};
  health.OnOpening(1, now);
  health.OnUsed(1, now);
  now += seconds(1);
  cr_assert(health.TakeDrops(now).empty() && health.ConnectionState(1) == "suspect");
  health.OnOpening(2, now);
  health.OnUsed(2, now);
  cr_assert(health.TakeDrops(now).empty());
  health.OnFinished(2, now + milliseconds(10));
  const auto drops = health.TakeDrops(now + milliseconds(10));
  cr_assert(drops.size() == 1 && drops[0] == (connection_drop{1, drop_reason::silent}));
  cr_assert(health.ConnectionState(1) == "closed" && health.ConnectionState(2) == "idle");
}

// Guards against bursts of new connections, each of which takes the server up to 6 ms.
Test(connection_health, openings_are_spaced_and_capped) {
  connection_health health(milliseconds(6), 2);
  instant now{};
  cr_assert(health.MayOpen(now));
  health.OnOpening(1, now);
  cr_assert(!health.MayOpen(now + milliseconds(5)));
  cr_assert(health.NextOpening(now) == now + milliseconds(6));
  health.OnOpening(2, now + milliseconds(6));
  cr_assert(!health.NextOpening(now + seconds(1)));
  health.OnFailed(1);
  cr_assert(health.MayOpen(now + seconds(1)));
}

// Guards against sending a request on a connection that was lost while idle.
Test(connection_health, idle_connections_are_closed_after_15_s) {
  connection_health health(milliseconds(6), 2);
  health.OnOpening(1, {});
  cr_assert(health.NextCheck() == instant(seconds(15)));
  cr_assert(health.TakeDrops(instant(seconds(14))).empty());
  cr_assert(health.TakeDrops(instant(seconds(15))).size() == 1);
  cr_assert(health.size() == 0);
}
