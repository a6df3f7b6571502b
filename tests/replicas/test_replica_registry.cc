#include <criterion/criterion.h>

#include "config/service_settings.h"
#include "replicas/admission.h"
#include "replicas/replica.h"
#include "replicas/replica_record.h"
#include "replicas/replica_registry.h"
#include "replicas/waiting_request.h"

using namespace limpetlever;

namespace {

const instant now{std::chrono::seconds(5)};

replica Server(const std::string& id) {
  return {.id = id,
          .service = "s",
          .address = {"10.0.0.1", 80},
          .data_centre = "dc-a",
          .started_ms = 1};
}

}  // namespace

// Guards against new attempts at a server that is draining or removed, also through a record that a
// query still holds.
Test(replica_registry, a_draining_server_gets_no_new_attempts) {
  replica_registry registry("dc-a");
  registry.Put(Server("i1"), now);
  const auto held = registry.Find("i1");
  replica draining = Server("i1");
  draining.is_draining = true;
  cr_assert(registry.Put(draining, now));
  cr_assert(!IsUsable(*held));
  registry.Put(Server("i1"), now);
  cr_assert(registry.Remove("i1", now));
  cr_assert(!IsUsable(*held));
  cr_assert(registry.FindByService("s").empty());
}

// Guards against applying observations of a previous server process to a restarted one.
Test(replica_registry, a_restarted_server_gets_a_new_record) {
  replica_registry registry("dc-a");
  registry.Put(Server("i1"), now);
  const auto before = registry.Find("i1");
  replica again = Server("i1");
  again.started_ms = 2;
  cr_assert(registry.Put(again, now));
  cr_assert(registry.Find("i1") != before);
  cr_assert(!IsUsable(*before));
  cr_assert(registry.FindByService("s").size() == 1);
}

// Guards against attempts at servers of a data centre that operators took out, including servers
// that register later.
Test(replica_registry, servers_of_a_data_centre_taken_out_are_not_usable) {
  replica_registry registry("dc-a");
  registry.Put(Server("i1"), now);
  cr_assert(registry.SetTakenOut({"dc-a"}, now));
  registry.Put(Server("i2"), now);
  cr_assert(!IsUsable(*registry.Find("i1")) && !IsUsable(*registry.Find("i2")));
  cr_assert(registry.SetTakenOut({}, now));
  cr_assert(IsUsable(*registry.Find("i1")) && IsUsable(*registry.Find("i2")));
}

// Guards against an entry of an earlier process, written late or an older copy, that undoes that a
// server drains, leaves or was removed.
Test(replica_registry, an_entry_of_an_earlier_process_is_held_back) {
  replica_registry registry("dc-a");
  replica present = Server("i1");
  present.started_ms = 5;
  cr_assert(!registry.HoldBack(present, now));
  registry.Put(present, now);
  cr_assert(registry.HoldBack(Server("i1"), now));
  cr_assert(!registry.HoldBack(present, now), "another entry of the present process");
  registry.Remove("i1", now);
  cr_assert(registry.HoldBack(Server("i1"), now), "the removed process is the later one");
  cr_assert(registry.TakeLastingEntries(now + std::chrono::seconds(4)).empty());
  cr_assert(registry.Find("i1") == nullptr);
  replica next = present;
  next.started_ms = 6;
  cr_assert(!registry.HoldBack(next, now));
  cr_assert(registry.TakeLastingEntries(now + std::chrono::minutes(1)).empty());
}

// Guards against a server that is never used again, since it restarted after its clock had been put
// back.
Test(replica_registry, an_entry_that_no_later_process_replaces_is_used) {
  replica_registry registry("dc-a");
  replica before = Server("i1");
  before.started_ms = 5;
  registry.Put(before, now);
  cr_assert(registry.HoldBack(Server("i1"), now));
  const auto lasting = registry.TakeLastingEntries(now + std::chrono::seconds(6));
  cr_assert(lasting.size() == 1 && lasting[0] == Server("i1"));
  registry.Put(lasting[0], now);
  cr_assert(registry.Find("i1")->registered.started_ms == 1);
  cr_assert(registry.TakeLastingEntries(now + std::chrono::minutes(1)).empty());
}

// Guards against servers that are not limited while they are cold: an entry that says so, a server
// that turns cold again, and a limit that the configuration names, changes or takes back.
Test(replica_registry, cold_servers_are_limited) {
  replica_registry registry("dc-a");
  registry.SetLimitSharers(limit_sharers("h", {"h"}, 1), true, now);
  registry.SetServices({{.name = "s", .cold_requests_per_s = 10.0}}, now);
  replica cold = Server("i1");
  cold.warm_up_left = std::chrono::seconds(3);
  registry.Put(cold, now);
  const auto record = registry.Find("i1");
  cr_assert(CheckAdmission(*record, now).reason == exclusion::cold);
  cr_assert(registry.CountCold(now) == 1);
  const instant later = now + std::chrono::seconds(3);
  cr_assert(CheckAdmission(*record, later).MaySend(later));
  // A host reads all entries again after it has lost the history of the store.
  registry.Put(cold, later);
  cr_assert(CheckAdmission(*record, later).MaySend(later));
  cold.sequence = 1;
  registry.Put(cold, later);
  cr_assert(!CheckAdmission(*record, later).MaySend(later));
  registry.SetServices({{.name = "s"}}, later);
  cr_assert(CheckAdmission(*record, later).MaySend(later));
  registry.SetServices({{.name = "s", .cold_requests_per_s = 1.0}}, later);
  cr_assert(!CheckAdmission(*record, later).MaySend(later));
}

// Guards against a host that does not know the others yet and takes the whole limit.
Test(replica_registry, a_host_that_does_not_know_the_others_has_no_part) {
  replica_registry registry("dc-a");
  registry.SetLimitSharers(limit_sharers("h", {"h"}, 1), false, now);
  registry.SetServices({{.name = "s", .cold_requests_per_s = 1000.0}}, now);
  replica cold = Server("i1");
  cold.warm_up_left = std::chrono::seconds(3);
  registry.Put(cold, now);
  const instant later = now + std::chrono::seconds(1);
  cr_assert(!CheckAdmission(*registry.Find("i1"), later).MaySend(later));
  registry.SetLimitSharers(limit_sharers("h", {"h"}, 1), true, later);
  const instant next = later + std::chrono::milliseconds(100);
  cr_assert(CheckAdmission(*registry.Find("i1"), next).MaySend(next));
}

// Guards against requests that wait for a server and reach it, or the process that has replaced it,
// all at once when it is cold.
Test(replica_registry, requests_that_wait_for_a_server_leave_when_it_is_cold) {
  replica_registry registry("dc-a");
  registry.SetLimitSharers(limit_sharers("h", {"h"}, 1), true, now);
  registry.SetServices({{.name = "s", .cold_requests_per_s = 10.0}}, now);
  registry.Put(Server("i1"), now);
  const auto record = registry.Find("i1");
  const waiting_request waiting{.chosen = now};
  cr_assert(DecideWaiting(*record, waiting, now) == waiting_decision::stay);
  replica cold = Server("i1");
  cold.warm_up_left = std::chrono::seconds(3);
  registry.Put(cold, now);
  cr_assert(DecideWaiting(*record, waiting, now) == waiting_decision::leave);
  const waiting_request with_part{.chosen = now, .is_within_warm_up_limit = true};
  cr_assert(DecideWaiting(*record, with_part, now) == waiting_decision::stay);
  const instant late = now + std::chrono::milliseconds(300);
  cr_assert(DecideWaiting(*record, with_part, late) == waiting_decision::leave);
  replica again = Server("i1");
  again.started_ms = 2;
  const instant warm = now + std::chrono::seconds(4);
  cr_assert(DecideWaiting(*record, waiting, warm) == waiting_decision::stay);
  registry.Put(again, warm);
  cr_assert(DecideWaiting(*record, waiting, warm) == waiting_decision::leave);
}
