#include "ownership/handover.h"

namespace limpetlever {

handover::handover(std::string name, std::int64_t incarnation, lease_limits limits)
    : name_(std::move(name)), incarnation_(incarnation), limits_(limits) {}

bool handover::IsSelf(const view_member* owner) const {
  return owner != nullptr && owner->name == name_ && owner->incarnation == incarnation_;
}

void handover::Adopt(owner_index index,
                     const std::vector<replica_location>& replicas,
                     instant now) {
  const std::int64_t epoch = index.view().epoch;
  if (epoch <= index_.view().epoch) {
    return;
  }
  // Epoch 1 is the first view of the region, so its replicas had no owner before.
  const bool is_first_view = epoch == 1;
  const bool knows_predecessor = index_.view().epoch > 0 && epoch == index_.view().epoch + 1;
  std::map<std::string, pending_handover> next;
  lost_replicas_.clear();
  may_release_ = knows_predecessor;
  for (const replica_location& replica : replicas) {
    const std::string& address = replica.address;
    const view_member* former_owner = index_.Find(address);
    const bool was_own = knows_predecessor && IsSelf(former_owner);
    const bool is_own = IsSelf(index.Find(address));
    const auto pending = pending_.find(address);
    const bool was_ready = was_own && IsReady(address, now);
    if (is_own && was_own) {
      if (pending != pending_.end() && !was_ready) {
        next.emplace(address, pending->second);
      }
    } else if (is_own && !is_first_view) {
      next.emplace(address,
                   pending_handover{.former_owner = knows_predecessor && former_owner != nullptr
                                                        ? former_owner->name
                                                        : std::string(),
                                    .epoch = epoch,
                                    .ready_at = now + HandoverWait(limits_)});
    } else if (was_own) {
      lost_replicas_.push_back(address);
      may_release_ = may_release_ && was_ready;
    }
  }
  pending_ = std::move(next);
  index_ = std::move(index);
  std::erase_if(releases_, [this, epoch](const auto& item) {
    for (const auto& [address, pending] : pending_) {
      if (pending.epoch == item.first) {
        return false;
      }
    }
    return item.first < epoch;
  });
}

void handover::UpdateReplicas(owner_index index,
                              const std::vector<replica_location>& replicas,
                              instant now) {
  if (index.view().epoch != index_.view().epoch) {
    return;
  }
  for (const replica_location& replica : replicas) {
    const bool is_own = IsSelf(index.Find(replica.address));
    if (is_own && !IsSelf(index_.Find(replica.address))) {
      // A host with an older table, in which the replica is in another data centre, may still use
      // it as its owner.
      pending_.insert_or_assign(replica.address,
                                pending_handover{.former_owner = {},
                                                 .epoch = index.view().epoch,
                                                 .ready_at = now + HandoverWait(limits_)});
    }
  }
  index_ = std::move(index);
}

void handover::OnRelease(const std::string& host, std::int64_t epoch) {
  releases_.emplace(epoch, host);
}

bool handover::IsReady(const std::string& replica, instant now) const {
  if (!IsSelf(index_.Find(replica))) {
    return false;
  }
  const auto pending = pending_.find(replica);
  if (pending == pending_.end() || now >= pending->second.ready_at) {
    return true;
  }
  return !pending->second.former_owner.empty() &&
         releases_.contains({pending->second.epoch, pending->second.former_owner});
}

std::optional<std::vector<std::string>> handover::ReplicasToRelease() const {
  if (!may_release_ || lost_replicas_.empty()) {
    return std::nullopt;
  }
  return lost_replicas_;
}

void handover::OnReleaseSent() {
  may_release_ = false;
  lost_replicas_.clear();
}

std::optional<instant> handover::NextTimer(instant now) const {
  std::optional<instant> next;
  for (const auto& [address, pending] : pending_) {
    if (pending.ready_at > now && (!next || pending.ready_at < *next)) {
      next = pending.ready_at;
    }
  }
  return next;
}

}  // namespace limpetlever
