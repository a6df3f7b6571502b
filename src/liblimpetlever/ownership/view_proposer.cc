#include "ownership/view_proposer.h"

#include <algorithm>
#include <utility>

namespace limpetlever {

namespace {

// Delay before a proposal, so that one commit covers all hosts of a failed rack, whose failures are
// detected within a few probes of each other.
constexpr duration kSettleDelay = std::chrono::milliseconds(200);
// Delay per rank among the wanted members. Longer than a read, a round of CloseEpoch and a write,
// so that the next host starts only if the previous one failed. The delay grows more slowly for
// later ranks, which bounds it in a region of 400 hosts.
constexpr duration kDelayPerRank = std::chrono::milliseconds(250);
constexpr duration kDelayPerLateRank = std::chrono::milliseconds(5);
constexpr std::int64_t kRanksWithFullDelay = 6;
// CloseEpoch is repeated because messages may be lost.
constexpr duration kCloseRepeatInterval = std::chrono::milliseconds(250);
constexpr duration kCloseTimeout = std::chrono::milliseconds(1500);
// If the key was read longer ago than this, it is read again before the commit.
constexpr duration kMaxReadAge = std::chrono::seconds(1);
// Longer than a proposer takes from its first CloseEpoch to the commit, with one retry.
constexpr duration kSuccessorDelay = std::chrono::seconds(3);
constexpr duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr duration kMaxBackoff = std::chrono::seconds(5);

}  // namespace

view_proposer::view_proposer(std::string name, std::uint64_t seed)
    : name_(std::move(name)), random_(seed) {}

bool view_proposer::ViewDiffers() const {
  return has_wanted_ && !wanted_.empty() && wanted_ != view_.members;
}

bool view_proposer::MustPropose() const {
  return ViewDiffers() || (has_wanted_ && !wanted_.empty() && locally_closed_epoch_ == view_.epoch);
}

duration view_proposer::RankDelay() {
  const auto self = std::find_if(wanted_.begin(), wanted_.end(),
                                 [this](const view_member& m) { return m.name == name_; });
  const std::int64_t rank = self - wanted_.begin();
  const duration jitter(static_cast<std::int64_t>(random_.Below(20000)));
  return kSettleDelay + kDelayPerRank * std::min(rank, kRanksWithFullDelay) +
         kDelayPerLateRank * rank + jitter;
}

void view_proposer::SetWantedMembers(std::vector<view_member> wanted,
                                     std::set<std::string> stopped_members,
                                     instant now) {
  stopped_members_ = std::move(stopped_members);
  if (has_wanted_ && wanted == wanted_) {
    return;
  }
  wanted_ = std::move(wanted);
  has_wanted_ = true;
  if (state_ == proposer_state::idle) {
    next_step_at_ = ViewDiffers() ? std::optional(now + RankDelay()) : std::nullopt;
  }
}

void view_proposer::OnView(const ownership_view& view, instant now) {
  if (view.epoch <= view_.epoch) {
    return;
  }
  view_ = view;
  if (state_ == proposer_state::committing || state_ == proposer_state::reading) {
    return;  // The result of the outstanding call follows.
  }
  state_ = proposer_state::idle;
  failures_ = 0;
  next_step_at_ = ViewDiffers() ? std::optional(now + RankDelay()) : std::nullopt;
}

std::vector<std::string> view_proposer::MembersNotClosed() const {
  std::vector<std::string> names;
  for (const view_member& member : view_.members) {
    if (!closed_by_.contains(member.name) && !stopped_members_.contains(member.name)) {
      names.push_back(member.name);
    }
  }
  return names;
}

void view_proposer::ScheduleRetry(instant now) {
  const duration limit =
      std::min<duration>(kMaxBackoff, kInitialBackoff * (1LL << std::min(failures_, 10)));
  ++failures_;
  state_ = proposer_state::idle;
  next_step_at_ = now + limit / 2 +
                  duration(static_cast<std::int64_t>(
                      random_.Below(static_cast<std::uint64_t>(limit.count() / 2) + 1)));
}

std::vector<proposer_action> view_proposer::Advance(instant now) {
  using enum proposer_action::action_kind;
  if (state_ == proposer_state::idle && next_step_at_ && now >= *next_step_at_) {
    next_step_at_.reset();
    if (!MustPropose()) {
      return {};
    }
    state_ = proposer_state::read_due;
  }
  if (state_ == proposer_state::closing) {
    const std::vector<std::string> missing = MembersNotClosed();
    const std::size_t needed = (view_.members.size() + 1) / 2;
    const bool self_is_member = std::any_of(view_.members.begin(), view_.members.end(),
                                            [this](const auto& m) { return m.name == name_; });
    if (view_.members.size() - missing.size() >= needed &&
        (!self_is_member || closed_by_.contains(name_))) {
      // The process may have been paused since the read.
      state_ = now - read_at_ < kMaxReadAge ? proposer_state::commit_due : proposer_state::read_due;
    } else if (now >= close_deadline_) {
      ScheduleRetry(now);
      return {};
    } else if (next_step_at_ && now >= *next_step_at_) {
      next_step_at_ = now + kCloseRepeatInterval;
      return {{.kind = close_epoch, .epoch = view_.epoch, .targets = missing}};
    }
  }
  if (state_ == proposer_state::read_due) {
    state_ = proposer_state::reading;
    next_step_at_.reset();
    read_at_ = now;
    return {{.kind = read_view}};
  }
  if (state_ == proposer_state::commit_due) {
    state_ = proposer_state::committing;
    next_step_at_.reset();
    committing_view_ = {.epoch = closing_epoch_ + 1, .members = wanted_};
    return {
        {.kind = commit, .epoch = closing_epoch_, .view = committing_view_, .revision = revision_}};
  }
  return {};
}

void view_proposer::OnRead(const ownership_view& view, std::int64_t revision, instant now) {
  if (state_ != proposer_state::reading) {
    return;
  }
  if (view.epoch < view_.epoch) {
    // A newer view arrived while the read was outstanding, so the read is out of date.
    ScheduleRetry(now);
    return;
  }
  view_ = view;
  revision_ = revision;
  // An epoch that was closed by some members needs a successor even if the wanted members are again
  // those of the view.
  const bool has_closed = view_.epoch == closing_epoch_ && !closed_by_.empty();
  if (!MustPropose() && !has_closed) {
    state_ = proposer_state::idle;
    failures_ = 0;
    return;
  }
  if (view_.epoch != closing_epoch_) {
    closed_by_.clear();
    closing_epoch_ = view_.epoch;
  }
  state_ = proposer_state::closing;
  next_step_at_ = now;
  close_deadline_ = now + kCloseTimeout;
}

void view_proposer::OnReadFailed(instant now) {
  if (state_ == proposer_state::reading) {
    ScheduleRetry(now);
  }
}

void view_proposer::OnEpochClosed(const std::string& host, std::int64_t epoch) {
  if (epoch == closing_epoch_) {
    closed_by_.insert(host);
  }
}

void view_proposer::OnCommit(commit_outcome outcome, instant now) {
  if (state_ != proposer_state::committing) {
    return;
  }
  switch (outcome) {
    case commit_outcome::committed:
      state_ = proposer_state::idle;
      failures_ = 0;
      if (committing_view_.epoch > view_.epoch) {
        view_ = committing_view_;
      }
      next_step_at_ = ViewDiffers() ? std::optional(now + RankDelay()) : std::nullopt;
      return;
    case commit_outcome::unknown:
      // The write may have taken effect; a read shows whether it has.
      state_ = proposer_state::read_due;
      next_step_at_ = now;
      return;
    case commit_outcome::conflict:
    case commit_outcome::unavailable:
      ScheduleRetry(now);
      return;
  }
}

void view_proposer::OnEpochClosedLocally(std::int64_t epoch, instant now) {
  if (epoch < view_.epoch) {
    return;
  }
  locally_closed_epoch_ = epoch;
  if (state_ == proposer_state::idle && !next_step_at_) {
    next_step_at_ = now + kSuccessorDelay + RankDelay();
  }
}

std::optional<instant> view_proposer::NextTimer() const {
  return next_step_at_;
}

}  // namespace limpetlever
