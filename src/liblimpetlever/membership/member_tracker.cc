#include "membership/member_tracker.h"

#include <algorithm>
#include <utility>

#include "membership/member_entry.h"

namespace limpetlever {

namespace {

constexpr duration kProbePeriod = std::chrono::milliseconds(500);
constexpr duration kSuspicionTime = std::chrono::seconds(2);
constexpr std::size_t kIndirectProbes = 2;
// Longer than any message about the dead host can be in flight, so that no such message adds the
// host again.
constexpr duration kDeadRecordRetention = std::chrono::minutes(10);
// Longer than the delay of the host list, so that a host that the list does not contain yet is not
// assumed to have left.
constexpr duration kMinAbsence = std::chrono::seconds(60);
// A longer time between two calls of Advance means that the process was paused and may have missed
// answers.
constexpr duration kPauseThreshold = std::chrono::milliseconds(1000);
// Entries have about 120 bytes. With a liveness report of 410 bytes, the eight messages that a host
// sends and receives in a second stay below 11 KB.
constexpr std::size_t kUpdatesPerMessage = 6;
// An update reaches all of n hosts with high probability once each host has sent it a few times
// log2(n) times.
constexpr int kSendsPerDoubling = 2;

// On average one in 8 dead members is probed in each round, so that the two sides of a network
// partition find each other again after it has healed.
constexpr std::uint64_t kDeadMembersPerProbe = 8;

}  // namespace

member_tracker::member_tracker(member self, std::uint64_t seed, instant now)
    : self_(self.name),
      random_(seed),
      started_at_(now),
      last_advance_(now),
      next_probe_(now + duration(static_cast<std::int64_t>(
                            random_.Below(static_cast<std::uint64_t>(kProbePeriod.count()))))) {
  record& item = records_[self_];
  item.host = std::move(self);
  item.observed = true;
  ScheduleSends(item);
}

void member_tracker::ScheduleSends(record& item) {
  int doublings = 1;
  for (std::size_t n = records_.size(); n > 1; n /= 2) {
    ++doublings;
  }
  item.sends_left = kSendsPerDoubling * doublings;
  ++change_count_;
}

member_tracker::record* member_tracker::FindRecord(const std::string& name) {
  const auto found = records_.find(name);
  return found == records_.end() ? nullptr : &found->second;
}

void member_tracker::SetRegisteredHosts(const std::vector<member>& hosts) {
  listed_names_.clear();
  has_host_list_ = !hosts.empty();
  for (const member& host : hosts) {
    listed_names_.insert(host.name);
    const auto [known, is_new] = records_.try_emplace(host.name);
    if (is_new || !known->second.observed) {
      known->second.host = host;
    }
  }
  std::erase_if(records_, [this](const auto& item) {
    return !item.second.observed && !listed_names_.contains(item.first);
  });
}

void member_tracker::SetState(record& item, member_state state, instant now) {
  item.host.state = state;
  item.suspected_at = state == member_state::suspect ? std::optional(now) : std::nullopt;
  item.dead_at = state == member_state::dead ? std::optional(now) : std::nullopt;
  item.reprobe_at.reset();
  ScheduleSends(item);
}

void member_tracker::UpdateRecord(record& item,
                                  const member& host,
                                  std::int64_t round,
                                  instant now) {
  item.host = host;
  item.round = round;
  item.observed = true;
  SetState(item, host.state, now);
  if (host.state == member_state::dead) {
    return;
  }
  // A newer process at the same peer address proves that the older one has ended.
  for (auto& [name, other] : records_) {
    if (name != host.name && name != self_ && other.observed &&
        other.host.state != member_state::dead && other.host.peer_address == host.peer_address &&
        other.host.incarnation < host.incarnation) {
      SetState(other, member_state::dead, now);
    }
  }
}

bool member_tracker::MergeEntry(const gossip_entry& entry, instant now) {
  const auto host = ParseMember(entry);
  if (!host) {
    return false;
  }
  record* known = FindRecord(host->name);
  if (host->name == self_) {
    // A newer state of this incarnation means that another host regards this one as suspect or
    // dead: refute it with a higher round. Entries of other incarnations of this name are ignored.
    if (IsNewer(entry, ToGossipEntry(known->host, known->round)) &&
        entry.incarnation == known->host.incarnation) {
      known->round = RefutationRound(entry) + 1;
      ScheduleSends(*known);
      return true;
    }
    return false;
  }
  if (known != nullptr && known->observed &&
      !IsNewer(entry, ToGossipEntry(known->host, known->round))) {
    return false;
  }
  if (known == nullptr && host->state == member_state::dead) {
    return false;  // The record has already expired on this host.
  }
  UpdateRecord(records_[host->name], *host, RefutationRound(entry), now);
  return true;
}

void member_tracker::ResumeAfterPause(duration gap) {
  // Probes from before the pause may have been answered during it.
  probes_.clear();
  direct_probe_ids_.clear();
  pending_actions_.clear();
  for (auto& [name, item] : records_) {
    if (item.suspected_at) {
      item.suspected_at = *item.suspected_at + gap;
    }
  }
}

void member_tracker::ExpireSuspicionsAndRecords(instant now) {
  std::vector<std::string> forgotten;
  for (auto& [name, item] : records_) {
    if (item.suspected_at && now - *item.suspected_at >= kSuspicionTime) {
      SetState(item, member_state::dead, now);
    } else if (item.dead_at && now - *item.dead_at >= kDeadRecordRetention) {
      forgotten.push_back(name);
    }
  }
  for (const std::string& name : forgotten) {
    records_.erase(name);
    ++change_count_;
  }
}

probe_action member_tracker::CreateDirectProbe(const std::string& target,
                                               std::vector<gossip_entry> updates) {
  const std::uint64_t id = next_id_++;
  probes_[id] = {.target = target, .incarnation = records_[target].host.incarnation};
  return {.id = id, .target = target, .updates = std::move(updates)};
}

void member_tracker::ReprobeSuspects(instant now, std::vector<probe_action>& actions) {
  // Gives the suspect further chances to refute the suspicion. At 5% message loss, live hosts were
  // declared dead when the suspect was informed of it by other hosts only.
  for (auto& [name, item] : records_) {
    if (item.reprobe_at && now >= *item.reprobe_at) {
      item.reprobe_at = now + kProbePeriod;
      // Other updates would be lost on most suspects: they have ended.
      actions.push_back(CreateDirectProbe(name, StateToRefute(name)));
    }
  }
}

std::optional<std::string> member_tracker::NextProbeTarget() {
  for (int pass = 0; pass < 2; ++pass) {
    while (!round_robin_.empty()) {
      std::string name = std::move(round_robin_.back());
      round_robin_.pop_back();
      const record* known = FindRecord(name);
      if (known != nullptr) {
        return name;
      }
    }
    for (const auto& [name, item] : records_) {
      const bool is_probed =
          item.host.state != member_state::dead || random_.Below(kDeadMembersPerProbe) == 0;
      if (name != self_ && is_probed) {
        round_robin_.push_back(name);
      }
    }
    for (std::size_t i = round_robin_.size(); i > 1; --i) {
      std::swap(round_robin_[i - 1], round_robin_[random_.Below(i)]);
    }
  }
  return std::nullopt;
}

std::vector<std::string> member_tracker::RandomRelays(const std::string& target) {
  std::vector<std::string> names;
  for (const auto& [name, item] : records_) {
    if (name != self_ && name != target && item.observed &&
        item.host.state == member_state::alive) {
      names.push_back(name);
    }
  }
  const std::size_t count = std::min(kIndirectProbes, names.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(names[i], names[i + random_.Below(names.size() - i)]);
  }
  names.resize(count);
  return names;
}

std::vector<gossip_entry> member_tracker::TakePendingUpdates() {
  std::vector<record*> pending;
  for (auto& [name, item] : records_) {
    if (item.observed && item.sends_left > 0) {
      pending.push_back(&item);
    }
  }
  // Updates that have been sent least often come first, so that new ones do not wait behind older
  // ones.
  const std::size_t count = std::min(kUpdatesPerMessage, pending.size());
  std::partial_sort(pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count),
                    pending.end(),
                    [](const record* a, const record* b) { return a->sends_left > b->sends_left; });
  std::vector<gossip_entry> updates;
  for (std::size_t i = 0; i < count; ++i) {
    --pending[i]->sends_left;
    updates.push_back(ToGossipEntry(pending[i]->host, pending[i]->round));
  }
  return updates;
}

std::vector<gossip_entry> member_tracker::StateToRefute(const std::string& name) {
  const record* known = FindRecord(name);
  if (known == nullptr || !known->observed || known->host.state == member_state::alive) {
    return {};
  }
  return {ToGossipEntry(known->host, known->round)};
}

std::vector<gossip_entry> member_tracker::CollectUpdates(const std::string& peer) {
  std::vector<gossip_entry> updates = TakePendingUpdates();
  std::vector<gossip_entry> states = StateToRefute(peer);
  for (gossip_entry& state : states) {
    if (std::find(updates.begin(), updates.end(), state) == updates.end()) {
      updates.push_back(std::move(state));
    }
  }
  return updates;
}

std::vector<probe_action> member_tracker::Advance(instant now) {
  if (now - last_advance_ > kPauseThreshold) {
    ResumeAfterPause(now - last_advance_);
  }
  last_advance_ = std::max(last_advance_, now);
  ExpireSuspicionsAndRecords(now);
  std::vector<probe_action> actions = std::exchange(pending_actions_, {});
  ReprobeSuspects(now, actions);
  if (now >= next_probe_) {
    next_probe_ = std::max(next_probe_ + kProbePeriod, now + kProbePeriod / 2);
    if (const auto target = NextProbeTarget()) {
      actions.push_back(CreateDirectProbe(*target, CollectUpdates(*target)));
    }
  }
  return actions;
}

void member_tracker::OnProbeResult(std::uint64_t id, bool answered, instant now) {
  const auto indirect_probe = direct_probe_ids_.find(id);
  const std::uint64_t direct_id =
      indirect_probe == direct_probe_ids_.end() ? id : indirect_probe->second;
  if (indirect_probe != direct_probe_ids_.end()) {
    direct_probe_ids_.erase(indirect_probe);
  }
  const auto found = probes_.find(direct_id);
  if (found == probes_.end()) {
    return;
  }
  probe& item = found->second;
  if (answered) {
    record* known = FindRecord(item.target);
    if (known != nullptr && !known->observed) {
      known->observed = true;
      SetState(
          *known,
          known->host.state == member_state::leaving ? member_state::leaving : member_state::alive,
          now);
    }
    probes_.erase(found);
    return;
  }
  if (item.is_direct_pending) {
    item.is_direct_pending = false;
    for (const std::string& relay : RandomRelays(item.target)) {
      const std::uint64_t indirect = next_id_++;
      direct_probe_ids_[indirect] = id;
      ++item.outstanding_indirect;
      pending_actions_.push_back({.id = indirect,
                                  .target = item.target,
                                  .relay = relay,
                                  .updates = StateToRefute(item.target)});
    }
  } else {
    --item.outstanding_indirect;
  }
  if (item.outstanding_indirect == 0) {
    const probe failed = item;
    probes_.erase(found);
    MarkSuspect(failed.target, failed.incarnation, now);
  }
}

void member_tracker::MarkSuspect(const std::string& name, std::int64_t incarnation, instant now) {
  record* known = FindRecord(name);
  if (known == nullptr || !known->observed || known->host.incarnation != incarnation) {
    return;  // The process was replaced while the probe was in flight.
  }
  if (known->host.state == member_state::alive) {
    SetState(*known, member_state::suspect, now);
    known->reprobe_at = now;
  } else if (known->host.state == member_state::leaving && !known->suspected_at) {
    // The leaving state takes precedence over suspicion, so only the suspicion timer is started.
    known->suspected_at = now;
  }
}

void member_tracker::Leave(instant now) {
  record& self = records_[self_];
  if (self.host.state != member_state::leaving) {
    SetState(self, member_state::leaving, now);
  }
}

std::vector<member> member_tracker::Members() const {
  std::vector<member> members;
  for (const auto& [name, item] : records_) {
    if (item.observed) {
      members.push_back(item.host);
    }
  }
  return members;
}

std::optional<member> member_tracker::Find(const std::string& name) const {
  const auto found = records_.find(name);
  return found == records_.end() || !found->second.observed ? std::nullopt
                                                            : std::optional(found->second.host);
}

bool member_tracker::HasLeftFleet(const std::string& name, instant now) const {
  if (!has_host_list_ || listed_names_.contains(name) || now - started_at_ < kMinAbsence) {
    return false;
  }
  const auto found = records_.find(name);
  return found == records_.end() ||
         (found->second.dead_at && now - *found->second.dead_at >= kMinAbsence);
}

std::optional<instant> member_tracker::NextTimer() const {
  std::optional<instant> next = pending_actions_.empty() ? next_probe_ : last_advance_;
  for (const auto& [name, item] : records_) {
    if (item.suspected_at) {
      next = std::min(*next, *item.suspected_at + kSuspicionTime);
    }
    if (item.reprobe_at) {
      next = std::min(*next, *item.reprobe_at);
    }
  }
  return next;
}

}  // namespace limpetlever
