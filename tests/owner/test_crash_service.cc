#include <criterion/criterion.h>

#include "control/gossip_map.h"
#include "events/event_log.h"
#include "server/crash_service.h"
#include "transport/monotonic_clock.h"

using namespace limpetlever;

// Guards against crash marks that reach other hosts only with the next gossip exchange: the request
// could be retried on a third server before that.
Test(crash_service, marks_and_their_clearing_are_pushed_at_once) {
  gossip_map gossip;
  event_log events("h", 100, WallNow);
  crash_service this_host(gossip, events);
  gossip_map other_gossip;
  crash_service other_host(other_gossip, events);
  int pushes = 0;
  this_host.SetPush([&](const std::vector<gossip_entry>& entries) {
    ++pushes;
    for (const gossip_entry& entry : entries) {
      other_host.OnGossipEntry(entry);
    }
  });
  this_host.OnServerCrash("a", {7, 8});
  this_host.OnServerCrash("b", {7});
  cr_assert(pushes == 2 && other_host.IsBlocked(7) && !other_host.IsBlocked(8));
  this_host.OnCompleted(7);
  cr_assert(pushes == 3 && !other_host.IsBlocked(7));
  this_host.OnCompleted(9);
  cr_assert(pushes == 3, "a request without marks was pushed");
}
