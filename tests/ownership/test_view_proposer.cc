#include <criterion/criterion.h>

#include "ownership/view_lease.h"
#include "ownership/view_proposer.h"

using namespace limpetlever;
using namespace std::chrono_literals;
using kind = proposer_action::action_kind;

namespace {

ownership_view View(std::int64_t epoch, const std::vector<std::string>& names) {
  ownership_view view{.epoch = epoch, .members = {}};
  for (const std::string& name : names) {
    view.members.push_back({.name = name, .data_centre = "dc", .incarnation = 1});
  }
  return view;
}

/** Advances `now` to the next action, but not beyond `limit`, and returns the actions. */
std::vector<proposer_action> AdvanceToNextAction(view_proposer& proposer,
                                                 instant& now,
                                                 instant limit) {
  while (proposer.NextTimer() && *proposer.NextTimer() <= limit) {
    now = std::max(now, *proposer.NextTimer());
    auto actions = proposer.Advance(now);
    if (!actions.empty()) {
      return actions;
    }
  }
  return proposer.Advance(now);
}

}  // namespace

// Guards against a region that cannot start because no view exists, and against a commit that
// reuses an earlier epoch after the view's key was lost.
Test(view_proposer, first_view) {
  instant now(1s);
  view_proposer proposer("a", 1);
  proposer.SetWantedMembers(View(0, {"a", "b"}).members, {}, now);
  cr_assert(AdvanceToNextAction(proposer, now, now + 10s)[0].kind == kind::read_view);
  proposer.OnRead({}, 0, now);
  const auto commit = proposer.Advance(now);
  cr_assert(commit[0].kind == kind::commit && commit[0].revision == 0);
  cr_assert(commit[0].view == View(1, {"a", "b"}));
  proposer.OnCommit(view_proposer::commit_outcome::committed, now);
  cr_assert(proposer.view().epoch == 1);
  proposer.SetWantedMembers(View(0, {"a"}).members, {}, now);
  AdvanceToNextAction(proposer, now, now + 10s);
  proposer.OnRead({}, 0, now);
  cr_assert(proposer.Advance(now).empty());
}

// Guards against repeating a commit as another epoch because its answer was lost.
Test(view_proposer, lost_answer_is_resolved_by_reading) {
  instant now(1s);
  view_proposer proposer("a", 1);
  proposer.OnView(View(4, {"a", "b", "c"}), now);
  proposer.SetWantedMembers(View(0, {"a", "b"}).members, {}, now);
  AdvanceToNextAction(proposer, now, now + 10s);
  proposer.OnRead(View(4, {"a", "b", "c"}), 9, now);
  cr_assert(proposer.Advance(now)[0].kind == kind::close_epoch);
  cr_assert(proposer.Advance(now).empty());  // one of three is not half
  proposer.OnEpochClosed("a", 4);
  cr_assert(proposer.Advance(now).empty());
  proposer.OnEpochClosed("b", 3);
  cr_assert(proposer.Advance(now).empty());
  proposer.OnEpochClosed("b", 4);
  cr_assert(proposer.Advance(now)[0].kind == kind::commit);
  proposer.OnCommit(view_proposer::commit_outcome::unknown, now);
  cr_assert(proposer.Advance(now)[0].kind == kind::read_view);
  proposer.OnRead(View(5, {"a", "b"}), 10, now);
  cr_assert(proposer.Advance(now).empty() && proposer.view().epoch == 5);
  cr_assert(!proposer.NextTimer());
}

// Guards against a commit that relies on a read from before a pause.
Test(view_proposer, pause_between_read_and_commit) {
  instant now(1s);
  view_proposer proposer("a", 1);
  proposer.OnView(View(4, {"a", "b"}), now);
  proposer.SetWantedMembers(View(0, {"a"}).members, {}, now);
  AdvanceToNextAction(proposer, now, now + 10s);
  proposer.OnRead(View(4, {"a", "b"}), 9, now);
  proposer.Advance(now);
  proposer.OnEpochClosed("a", 4);
  cr_assert(proposer.Advance(now + 1200ms)[0].kind == kind::read_view);
}

// Guards against a region that is stuck because more than half of its members have ended for good,
// as when the hosts of a failed rack are replaced by hosts with other names.
Test(view_proposer, stopped_members_count_as_closed) {
  instant now(1s);
  view_proposer proposer("a", 1);
  proposer.OnView(View(4, {"a", "b", "c", "d", "e"}), now);
  proposer.SetWantedMembers(View(0, {"a", "f"}).members, {}, now);
  AdvanceToNextAction(proposer, now, now + 10s);
  proposer.OnRead(View(4, {"a", "b", "c", "d", "e"}), 9, now);
  proposer.Advance(now);
  proposer.OnEpochClosed("a", 4);
  cr_assert(proposer.Advance(now).empty());
  proposer.SetWantedMembers(View(0, {"a", "f"}).members, {"b", "c"}, now);
  cr_assert(proposer.Advance(now)[0].kind == kind::commit);
}

// Guards against an epoch that stays closed after its proposer failed, since it could not be
// attested in the next outage of the key-value service.
Test(view_proposer, closed_epoch_gets_a_successor) {
  instant now(1s);
  view_proposer proposer("b", 1);
  proposer.OnView(View(4, {"a", "b"}), now);
  proposer.SetWantedMembers(View(0, {"a", "b"}).members, {}, now);
  cr_assert(!proposer.NextTimer());
  proposer.OnEpochClosedLocally(4, now);
  cr_assert(AdvanceToNextAction(proposer, now, now + 10s)[0].kind == kind::read_view);
  proposer.OnRead(View(4, {"a", "b"}), 9, now);
  cr_assert(proposer.Advance(now)[0].kind == kind::close_epoch);
  proposer.OnEpochClosed("b", 4);
  cr_assert(proposer.Advance(now)[0].view.epoch == 5);
}

// Guards against a call in each iteration of the event loop during an outage of the key-value
// service.
Test(view_proposer, makes_few_calls_in_an_outage_of_hours) {
  instant now(1s);
  view_proposer proposer("a", 1);
  proposer.SetWantedMembers(View(0, {"a"}).members, {}, now);
  int reads = 0;
  while (now < instant(2h)) {
    reads += static_cast<int>(AdvanceToNextAction(proposer, now, now + 10s).size());
    proposer.OnReadFailed(now);
  }
  cr_assert(reads < 7200 / 2.5 + 10, "%d reads", reads);
}

// Guards against a lease that lasts longer than its duration, and against one that is attested by a
// restarted member, which does not know which epochs it closed.
Test(view_lease, attested_by_a_majority_of_the_same_processes) {
  const instant now(100s);
  view_lease lease("a", 1);
  lease.Adopt(View(4, {"a", "b", "c"}));
  cr_assert(!lease.MayDispatch(now));
  lease.OnReport("b", 2, {.epoch = 4, .attests = true}, now);
  cr_assert(!lease.MayDispatch(now));
  lease.OnReport("b", 1, {.epoch = 4, .attests = true}, now);
  cr_assert(lease.MayDispatch(now + 2499ms) && !lease.MayDispatch(now + 2500ms));
  lease.CloseEpoch(4);
  cr_assert(!lease.MayDispatch(now) && !lease.Report(now).attests);
  lease.OnRead(4, 0, now);
  cr_assert(lease.MayDispatch(now + 1s));
}

// Guards against a host that continues without the newer table, which may take its data centre out.
Test(view_lease, is_not_renewed_without_the_newer_table) {
  const instant now(100s);
  view_lease lease("a", 1);
  lease.Adopt(View(4, {"a", "b", "c"}));
  lease.OnRead(4, 8, now);
  cr_assert(!lease.MayDispatch(now));
  lease.SetTableVersion(8);
  lease.OnReport("b", 1, {.epoch = 4, .table_version = 8, .confirmation_age = 1s}, now);
  cr_assert(lease.MayDispatch(now + 1390ms) && !lease.MayDispatch(now + 1400ms));
}
