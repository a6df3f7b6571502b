#ifndef LIMPETLEVER_OWNERSHIP_VIEW_PROPOSER_H_
#define LIMPETLEVER_OWNERSHIP_VIEW_PROPOSER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "base/time_types.h"
#include "ownership/ownership_view.h"
#include "ownership/proposer_action.h"

namespace limpetlever {

/**
 * Proposes the next ownership view of the region when the wanted members differ from those of the
 * current one. First reads the view's key, so that it never commits without recent contact to the
 * key-value service; then has at least half of the members close the epoch; then writes the new
 * view if the key is still at the revision that was read. Does no I/O: the caller executes the
 * actions.
 */
class view_proposer {
 public:
  enum class commit_outcome { committed, conflict, unavailable, unknown };

  view_proposer(std::string name, std::uint64_t seed);

  /**
   * Sets the members that the view should have: live, not leaving, sorted by name.
   * `stopped_members` holds the names of members of the current view that no longer run according
   * to the list of hosts; they count as having closed it. It must not hold the name of a live host.
   */
  void SetWantedMembers(std::vector<view_member> wanted,
                        std::set<std::string> stopped_members,
                        instant now);

  /** This host received a view from any source. Ignored unless it is newer than view(). */
  void OnView(const ownership_view& view, instant now);

  /** Returns the actions due at `now`. To be called at NextTimer() and after each report. */
  std::vector<proposer_action> Advance(instant now);

  /** The key was read. If it does not exist, `view` has epoch 0 and `revision` is 0. */
  void OnRead(const ownership_view& view, std::int64_t revision, instant now);
  void OnReadFailed(instant now);
  /** `host`, or a later process of the same name, has closed `epoch`. */
  void OnEpochClosed(const std::string& host, std::int64_t epoch);
  void OnCommit(commit_outcome outcome, instant now);

  /**
   * This host closed `epoch` for another proposer. If that proposer fails, this host commits the
   * successor after a delay, because a closed epoch could not be attested in an outage of the
   * key-value service.
   */
  void OnEpochClosedLocally(std::int64_t epoch, instant now);

  std::optional<instant> NextTimer() const;

  /** The newest view that this proposer read, committed or received. */
  const ownership_view& view() const { return view_; }

 private:
  enum class proposer_state { idle, read_due, reading, closing, commit_due, committing };

  bool ViewDiffers() const;
  bool MustPropose() const;
  duration RankDelay();
  std::vector<std::string> MembersNotClosed() const;
  void ScheduleRetry(instant now);

  std::string name_;
  random_source random_;
  proposer_state state_ = proposer_state::idle;
  std::vector<view_member> wanted_;
  std::set<std::string> stopped_members_;
  bool has_wanted_ = false;
  ownership_view view_;
  std::int64_t revision_ = 0;
  std::optional<instant> next_step_at_;
  instant read_at_;
  instant close_deadline_;
  std::set<std::string> closed_by_;
  std::int64_t closing_epoch_ = -1;
  std::int64_t locally_closed_epoch_ = -1;
  ownership_view committing_view_;
  int failures_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_OWNERSHIP_VIEW_PROPOSER_H_
