#include <criterion/criterion.h>

#include "ownership/handover.h"

using namespace limpetlever;
using namespace std::chrono_literals;

namespace {

const std::vector<replica_location> kReplicas = [] {
  std::vector<replica_location> replicas;
  for (int i = 0; i < 200; ++i) {
    replicas.push_back(
        {.address = "r" + std::to_string(i), .data_centre = i % 4 == 0 ? "x" : "dc"});
  }
  return replicas;
}();

owner_index Index(std::int64_t epoch, const std::vector<std::string>& names) {
  ownership_view view{.epoch = epoch, .members = {}};
  for (const std::string& name : names) {
    view.members.push_back({.name = name, .data_centre = "dc", .incarnation = 1});
  }
  return {view, kReplicas};
}

int CountReady(const handover& owner, instant now) {
  int count = 0;
  for (const replica_location& replica : kReplicas) {
    count += owner.IsReady(replica.address, now) ? 1 : 0;
  }
  return count;
}

int CountOwned(const owner_index& index, const std::string& name) {
  int count = 0;
  for (const replica_location& replica : kReplicas) {
    count += index.Find(replica.address)->name == name ? 1 : 0;
  }
  return count;
}

}  // namespace

// Guards against owner_index and FindOwner disagreeing on an owner, also for a data centre without
// members, as after the failure of a whole rack or data centre.
Test(owner_index, agrees_with_find_owner) {
  const owner_index index = Index(3, {"a", "b", "c", "d"});
  for (const replica_location& replica : kReplicas) {
    cr_assert(index.Find(replica.address)->name ==
              FindOwner(index.view(), replica.address, replica.data_centre)->name);
  }
  cr_assert(index.Find("unknown") == nullptr);
}

// Guards against a host that uses replicas at once although it does not know their former owners,
// or waits although there were none, or waits for ever. Also against a restarted process using
// replicas that the view assigns to its predecessor.
Test(handover, start_with_unknown_former_owners) {
  const instant now(1s);
  handover later("a", 1);
  later.Adopt(Index(3, {"a", "b"}), kReplicas, now);
  cr_assert(CountReady(later, now + 4949ms) == 0);
  cr_assert(CountReady(later, now + 4950ms) == CountOwned(Index(3, {"a", "b"}), "a"));
  handover first("a", 1);
  first.Adopt(Index(1, {"a", "b"}), kReplicas, now);
  cr_assert(CountReady(first, now) > 0);
  handover restarted("a", 2);  // the view still holds the incarnation before the restart
  restarted.Adopt(Index(1, {"a", "b"}), kReplicas, now);
  cr_assert(CountReady(restarted, now + 1h) == 0);
}

// Guards against a release by another host or of another epoch ending the wait, and against waiting
// after the release by the former owner.
Test(handover, release_by_the_former_owner) {
  const instant now(100s);
  handover owner("b", 1);
  owner.Adopt(Index(1, {"a", "b"}), kReplicas, now);
  const int before = CountReady(owner, now);
  owner.OnRelease("a", 1);
  owner.OnRelease("b", 2);
  owner.Adopt(Index(2, {"b"}), kReplicas, now);
  cr_assert(CountReady(owner, now) == before);
  owner.OnRelease("a", 2);
  cr_assert(CountReady(owner, now) == 200);
}

// Guards against releasing a replica that an earlier owner may still use: it passes from a to b,
// and from b to c before b's wait has ended.
Test(handover, unfinished_handover_is_not_released) {
  const instant now(100s);
  handover owner("b", 1);
  owner.Adopt(Index(1, {"a", "b"}), kReplicas, now);
  owner.Adopt(Index(2, {"b"}), kReplicas, now);
  owner.Adopt(Index(3, {"c"}), kReplicas, now + 1s);
  cr_assert(!owner.ReplicasToRelease());
  handover waited("b", 1);
  waited.Adopt(Index(1, {"a", "b"}), kReplicas, now);
  waited.Adopt(Index(2, {"b"}), kReplicas, now);
  waited.Adopt(Index(3, {"c"}), kReplicas, now + 5s);
  cr_assert(waited.ReplicasToRelease()->size() == 200);
  waited.OnReleaseSent();
  cr_assert(!waited.ReplicasToRelease());
}

// Guards against a host that missed a view assuming that it owned its replicas without
// interruption.
Test(handover, former_owners_are_unknown_after_a_missed_view) {
  const instant now(100s);
  handover owner("a", 1);
  owner.Adopt(Index(1, {"a", "b"}), kReplicas, now);
  owner.Adopt(Index(3, {"a", "b"}), kReplicas, now);
  cr_assert(CountReady(owner, now) == 0 && !owner.ReplicasToRelease());
  handover in_turn("a", 1);
  in_turn.Adopt(Index(1, {"a", "b"}), kReplicas, now);
  in_turn.Adopt(Index(2, {"a", "b", "c"}), kReplicas, now);
  cr_assert(CountReady(in_turn, now) == CountOwned(Index(2, {"a", "b", "c"}), "a"));
}
