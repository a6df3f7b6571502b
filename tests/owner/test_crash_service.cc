#include <criterion/criterion.h>

#include "control/gossip_map.h"
#include "events/event_log.h"
#include "server/crash_service.h"
#include "transport/monotonic_clock.h"

using namespace limpetlever;

// Guards against marks that reach other hosts only with the next gossip exchange: a request could
// be sent again to a third server before.
Test(crash_service, marks_and_their_clearing_are_pushed_at_once) {
  gossip_map gossip;
  event_log events("h", 100, WallNow);
  crash_service own(gossip, events);
  gossip_map other_gossip;
  crash_service other(other_gossip, events);
  int pushes = 0;
  own.SetPush([&](const std::vector<gossip_entry>& entries) {
    ++pushes;
    for (const gossip_entry& entry : entries) {
      other.OnGossipEntry(entry);
    }
  });
  own.OnServerCrash("a", {7, 8});
  own.OnServerCrash("b", {7});
  cr_assert(pushes == 2 && other.IsBlocked(7) && !other.IsBlocked(8));
  own.OnCompleted(7);
  cr_assert(pushes == 3 && !other.IsBlocked(7));
  own.OnCompleted(9);
  cr_assert(pushes == 3, "a request without marks was pushed");
}
