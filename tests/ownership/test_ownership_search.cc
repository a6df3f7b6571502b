#include <criterion/criterion.h>

#include "ownership/ownership_model.h"

using namespace limpetlever;

namespace {

struct search_result {
  int violations = 0;
  int recovered = 0;
  int dispatched = 0;
  int epochs = 0;
  int releases = 0;
  std::string first_violation;
};

template <typename Model>
search_result Search(int seeds) {
  search_result total;
  for (int seed = 1; seed <= seeds; ++seed) {
    const auto run =
        Model(static_cast<std::uint64_t>(seed), 2 + seed % 4, std::chrono::seconds(60)).Run();
    total.violations += run.violation.empty() ? 0 : 1;
    if (!run.violation.empty() && total.first_violation.empty()) {
      total.first_violation = "seed " + std::to_string(seed) + ": " + run.violation;
    }
    total.recovered += run.recovered ? 1 : 0;
    total.dispatched += run.dispatched;
    total.epochs += run.epochs;
    total.releases += run.releases;
  }
  return total;
}

/** Planted fault: a gained replica is used without waiting. */
struct handover_without_wait : handover {
  using handover::handover;
  bool IsReady(const std::string& replica, instant now) const {
    return handover::IsReady(replica, now + HandoverWait({}));
  }
};

/** Planted fault: the wait covers the former owner's lease but not the attempts that outlive it. */
struct handover_with_short_wait : handover {
  using handover::handover;
  bool IsReady(const std::string& replica, instant now) const {
    return handover::IsReady(replica, now + std::chrono::milliseconds(2400));
  }
};

/**
 * Planted fault: a release also counts for the two epochs after its own, as if replicas were
 * released without regard to an unfinished handover.
 */
struct handover_with_early_release : handover {
  using handover::handover;
  void OnRelease(const std::string& host, std::int64_t epoch) {
    handover::OnRelease(host, epoch);
    handover::OnRelease(host, epoch + 1);
    handover::OnRelease(host, epoch + 2);
  }
};

/** Planted fault: a closed epoch is still attested. */
struct lease_that_ignores_closing : view_lease {
  using view_lease::view_lease;
  void CloseEpoch(std::int64_t /*epoch*/) {}
};

/** Planted fault: a lease never expires once its view was fresh. */
struct lease_without_end : view_lease {
  using view_lease::view_lease;
  bool MayDispatch(instant now) const {
    fresh_epoch_ = view_lease::MayDispatch(now) ? view().epoch : fresh_epoch_;
    return fresh_epoch_ == view().epoch && fresh_epoch_ > 0;
  }
  mutable std::int64_t fresh_epoch_ = 0;
};

/** Planted fault: the proposer commits without asking members to close the epoch. */
struct proposer_without_closing : view_proposer {
  using view_proposer::view_proposer;
  std::vector<proposer_action> Advance(instant now) {
    std::vector<proposer_action> actions = view_proposer::Advance(now);
    while (!actions.empty() && actions.front().kind == proposer_action::action_kind::close_epoch) {
      for (const std::string& target : actions.front().targets) {
        OnEpochClosed(target, actions.front().epoch);
      }
      actions = view_proposer::Advance(now);
    }
    return actions;
  }
};

}  // namespace

// Guards against two hosts using one replica under combinations of faults, and against rules that
// are safe only because no attempt is dispatched or the region does not recover.
Test(ownership_search, no_replica_has_two_users) {
  const auto found = Search<ownership_model<>>(400);
  cr_log_info("epochs %d, dispatched %d, releases %d, recovered %d", found.epochs, found.dispatched,
              found.releases, found.recovered);
  cr_assert(found.violations == 0, "%d violations, first %s", found.violations,
            found.first_violation.c_str());
  cr_assert(found.recovered == 400, "%d of 400 recovered", found.recovered);
  cr_assert(found.epochs > 400 * 5, "only %d epochs", found.epochs);
  cr_assert(found.releases > 400, "only %d releases", found.releases);
}

// Guards against a search that is too weak to find a violated rule: it must find each planted
// fault.
Test(ownership_search, planted_faults_are_found) {
  using lease = view_lease;
  using replica_handover = handover;
  const int seeds = 100;
  const int no_wait = Search<ownership_model<lease, handover_without_wait>>(seeds).violations;
  const int short_wait = Search<ownership_model<lease, handover_with_short_wait>>(seeds).violations;
  const int early_release =
      Search<ownership_model<lease, handover_with_early_release>>(seeds).violations;
  const int ignored_closing = Search<ownership_model<lease_that_ignores_closing>>(seeds).violations;
  const int endless_lease = Search<ownership_model<lease_without_end>>(seeds).violations;
  const int no_closing =
      Search<ownership_model<lease, replica_handover, proposer_without_closing>>(seeds).violations;
  cr_log_info(
      "no wait %d, short wait %d, early release %d, closed attested %d, endless %d, "
      "no closing %d",
      no_wait, short_wait, early_release, ignored_closing, endless_lease, no_closing);
  cr_assert(no_wait > 0);
  cr_assert(short_wait > 0);
  cr_assert(early_release > 0);
  cr_assert(ignored_closing > 0);
  cr_assert(endless_lease > 0);
  cr_assert(no_closing > 0);
}
