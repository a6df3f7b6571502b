#include "server/ownership_service.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "base/errc.h"
#include "base/hash.h"
#include "control/gossip_map.h"
#include "control/watcher_choice.h"
#include "events/event_log.h"
#include "ownership/member_selection.h"
#include "server/cluster_state.h"
#include "server/gossip_codec.h"
#include "server/task_runner.h"
#include "table/table_json.h"
#include "transport/key_value_client.h"
#include "transport/monotonic_clock.h"
#include "transport/peer_codec.h"
#include "transport/peer_links.h"

namespace limpetlever {

namespace {

// Several renewals fit into a lease of 2.5 s, so that one lost reply does not end it.
constexpr duration kRenewPeriod = std::chrono::milliseconds(400);
// Former views are stored with the current one, so that a host that missed a few views can still
// determine the former owner of each replica.
constexpr std::size_t kMaxViewsKept = 4;
// Renewal period of a lease that is near its expiry, for example right after a new view.
constexpr duration kUrgentRenewPeriod = std::chrono::milliseconds(100);
constexpr duration kProposePeriod = std::chrono::milliseconds(50);
constexpr duration kReleasePeriod = std::chrono::milliseconds(100);
// With less lease time left than this, all hosts of the region are asked, not only the watchers.
constexpr duration kLeaseExpiryThreshold = std::chrono::milliseconds(1200);

}  // namespace

ownership_service::ownership_service(cluster_state& state,
                                     key_value_client& store,
                                     peer_links& links,
                                     gossip_map& gossip,
                                     event_log& events,
                                     task_runner& tasks,
                                     in_flight_check has_in_flight)
    : state_(state),
      store_(store),
      links_(links),
      gossip_(gossip),
      events_(events),
      tasks_(tasks),
      has_in_flight_(std::move(has_in_flight)),
      view_key_("views/" + state.self().region),
      lease_(state.self().name, state.self().incarnation),
      proposer_(state.self().name, Hash(state.self().name)),
      handover_(state.self().name, state.self().incarnation) {}

void ownership_service::Start() {
  tasks_.Every(kUrgentRenewPeriod, [this] { RenewLeaseIfDue(); });
  tasks_.Every(kProposePeriod, [this] { Propose(); });
  tasks_.Every(kReleasePeriod, [this] { SendReleases(); });
}

bool ownership_service::MayDispatch() const {
  const std::lock_guard lock(mutex_);
  return lease_.MayDispatch(MonotonicNow());
}

bool ownership_service::MayUse(const std::string& replica) const {
  const std::lock_guard lock(mutex_);
  const instant now = MonotonicNow();
  return lease_.MayDispatch(now) && handover_.IsReady(replica, now);
}

void ownership_service::SetMembers(const std::vector<member>& members,
                                   std::set<std::string> stopped) {
  const std::lock_guard lock(mutex_);
  members_ = members;
  stopped_hosts_ = std::move(stopped);
  UpdateWantedLocked();
}

void ownership_service::UpdateWantedLocked() {
  const auto table = state_.table();
  membership_status report{
      .region = state_.self().region,
      .members = members_,
      .taken_out_hosts = {table->taken_out_hosts.begin(), table->taken_out_hosts.end()}};
  if (is_leaving_) {
    report.taken_out_hosts.insert(state_.self().name);
  }
  proposer_.SetWantedMembers(SelectMembers(proposer_.view(), report), stopped_hosts_,
                             MonotonicNow());
}

void ownership_service::OnTable(const operator_table& table) {
  const std::lock_guard lock(mutex_);
  if (table.version <= table_version_) {
    return;
  }
  table_version_ = table.version;
  locations_.clear();
  for (const backend_server_row& server : table.backend_servers) {
    locations_.push_back({.address = server.address, .data_centre = server.data_centre});
  }
  lease_.SetTableVersion(table.version);
  handover_.UpdateReplicas(owner_index(lease_.view(), locations_), locations_, MonotonicNow());
  ReportAcquiredLocked();
}

void ownership_service::OnViews(const std::vector<ownership_view>& views) {
  {
    const std::lock_guard lock(mutex_);
    if (views.empty() || views.back().epoch <= lease_.view().epoch) {
      return;
    }
    // From now on this host does not attest the former epoch to other hosts.
    lease_.OnReport("", 0, {.epoch = views.back().epoch}, MonotonicNow());
  }
  tasks_.Post([this, views] {
    // A view adopted without confirmation has no lease until the next renewal, and all work would
    // be refused until then. While the read is pending, the lease on the former view stays valid.
    VerifyWithStore();
    const std::lock_guard lock(mutex_);
    AdoptLocked(views);
  });
}

void ownership_service::AdoptLocked(const std::vector<ownership_view>& views) {
  bool is_adopted = false;
  for (const ownership_view& view : views) {
    is_adopted = AdoptOneLocked(view) || is_adopted;
  }
  if (!is_adopted) {
    return;
  }
  UpdateWantedLocked();
  // A new view starts without a fresh lease; work would be refused until the next renewal.
  tasks_.Post([this] { RenewLease(); });
  // gossip_map::Put calls its listener, which locks `mutex_`; the lock is held here, so post it.
  tasks_.Post([this, entry = gossip_entry{.key = view_key_,
                                          .incarnation = 0,
                                          .version = recent_views_.back().epoch,
                                          .value = FormatOwnershipViews(recent_views_)}] {
    gossip_.Put(entry);
  });
}

bool ownership_service::AdoptOneLocked(const ownership_view& view) {
  if (!lease_.Adopt(view)) {
    return false;
  }
  const instant now = MonotonicNow();
  proposer_.OnView(view, now);
  handover_.Adopt(owner_index(view, locations_), locations_, now);
  state_.AdoptView(view);
  recent_views_.push_back(view);
  if (recent_views_.size() > kMaxViewsKept) {
    recent_views_.erase(recent_views_.begin());
  }
  events_.Record(event_number::view_adopted, {{"region", state_.self().region},
                                              {"epoch", std::to_string(view.epoch)},
                                              {"members", std::to_string(view.members.size())}});
  ReportAcquiredLocked();
  return true;
}

void ownership_service::ReportAcquiredLocked() {
  std::set<std::string> owned;
  std::size_t acquired = 0;
  for (const backend_server_row& server : state_.OwnedReplicas()) {
    acquired += owned_replicas_.contains(server.address) ? 0 : 1;
    owned.insert(server.address);
  }
  owned_replicas_ = std::move(owned);
  if (acquired > 0) {
    events_.Record(event_number::replica_acquired, {{"epoch", std::to_string(lease_.view().epoch)},
                                                    {"replicas", std::to_string(acquired)}});
  }
}

view_report ownership_service::Report() const {
  const std::lock_guard lock(mutex_);
  return lease_.Report(MonotonicNow());
}

bool ownership_service::CloseEpoch(const std::string& region, std::int64_t epoch) {
  if (region != state_.self().region) {
    return false;
  }
  const std::lock_guard lock(mutex_);
  lease_.CloseEpoch(epoch);
  proposer_.OnEpochClosedLocally(epoch, MonotonicNow());
  return true;
}

void ownership_service::OnRelease(const std::string& host, std::int64_t epoch) {
  const std::lock_guard lock(mutex_);
  handover_.OnRelease(host, epoch);
}

void ownership_service::Leave() {
  const std::lock_guard lock(mutex_);
  is_leaving_ = true;
}

bool ownership_service::IsMember() const {
  const std::lock_guard lock(mutex_);
  const auto& members = lease_.view().members;
  return std::any_of(members.begin(), members.end(), [this](const view_member& host) {
    return host.name == state_.self().name && host.incarnation == state_.self().incarnation;
  });
}

void ownership_service::RenewLeaseIfDue() {
  {
    const std::lock_guard lock(mutex_);
    const instant now = MonotonicNow();
    const auto fresh_until = lease_.FreshUntil(now);
    const bool is_near_expiry = !fresh_until || *fresh_until - now < kLeaseExpiryThreshold;
    if (!is_near_expiry && now - renewed_at_ < kRenewPeriod) {
      return;
    }
    renewed_at_ = now;
  }
  RenewLease();
}

void ownership_service::RenewLease() {
  const std::vector<member> members = state_.members();
  const member& self = state_.self();
  if (IsWatcher(members, self.data_centre, self.name)) {
    TryVerifyWithStore();
  } else {
    const std::vector<std::string> watchers = ChooseWatchers(members, self.data_centre);
    std::vector<member> hosts;
    for (const member& host : members) {
      if (std::find(watchers.begin(), watchers.end(), host.name) != watchers.end()) {
        hosts.push_back(host);
      }
    }
    RequestFreshness(hosts);
  }
  bool is_near_expiry = false;
  {
    const std::lock_guard lock(mutex_);
    const auto fresh_until = lease_.FreshUntil(MonotonicNow());
    is_near_expiry = !fresh_until || *fresh_until - MonotonicNow() < kLeaseExpiryThreshold;
  }
  if (is_near_expiry) {
    std::vector<member> hosts;
    for (const member& host : members) {
      if (host.region == self.region && host.name != self.name) {
        hosts.push_back(host);
      }
    }
    RequestFreshness(hosts);
  }
  ReportLeaseChange();
}

void ownership_service::ReportLeaseChange() {
  const std::lock_guard lock(mutex_);
  const bool is_fresh = lease_.MayDispatch(MonotonicNow());
  if (was_fresh_ && !is_fresh) {
    events_.Record(event_number::lease_lapsed, {{"epoch", std::to_string(lease_.view().epoch)}});
  }
  was_fresh_ = is_fresh;
}

void ownership_service::VerifyWithStore() {
  const std::lock_guard verify_lock(verify_mutex_);
  VerifyWithStoreLocked();
}

void ownership_service::TryVerifyWithStore() {
  const std::unique_lock verify_lock(verify_mutex_, std::try_to_lock);
  if (verify_lock.owns_lock()) {
    VerifyWithStoreLocked();
  }
}

void ownership_service::VerifyWithStoreLocked() {
  std::int64_t view_revision = 0;
  std::int64_t table_revision = 0;
  {
    const std::lock_guard lock(mutex_);
    view_revision = view_revision_;
    table_revision = table_revision_;
  }
  const instant sent_at = MonotonicNow();
  // With a wait of zero, Watch returns at once and transfers the value only if it is newer.
  const auto view_entry = store_.Watch(view_key_, view_revision, duration::zero());
  const auto table_entry = store_.Watch("table", table_revision, duration::zero());
  if (!view_entry || !table_entry) {
    return;
  }
  std::optional<std::vector<ownership_view>> views;
  std::int64_t table_version = 0;
  if (*view_entry) {
    const auto parsed = ParseOwnershipViews((*view_entry)->value);
    if (!parsed) {
      LOG(ERROR) << "[802] " << view_key_ << ": " << parsed.error().message;
      return;
    }
    views = *parsed;
  }
  if (*table_entry) {
    const auto parsed = ParseTableJson((*table_entry)->value, "table");
    if (!parsed) {
      LOG(ERROR) << "[702] " << parsed.error().message;
      return;
    }
    table_version = parsed->version;
    gossip_.Put({.key = "table",
                 .incarnation = 0,
                 .version = table_version,
                 .value = (*table_entry)->value});
  }
  const std::lock_guard lock(mutex_);
  if (views) {
    view_revision_ = (*view_entry)->revision;
    store_epoch_ = views->back().epoch;
    AdoptLocked(*views);
  }
  if (*table_entry) {
    table_revision_ = (*table_entry)->revision;
    store_table_version_ = table_version;
  }
  if (store_epoch_ > 0) {
    lease_.OnRead(store_epoch_, store_table_version_, sent_at);
  }
}

void ownership_service::RequestFreshness(const std::vector<member>& hosts) {
  for (const member& host : hosts) {
    tasks_.Post([this, host] {
      const instant sent_at = MonotonicNow();
      const auto reply = links_.Freshness(host.peer_address);
      if (!reply) {
        return;
      }
      const view_report report{.epoch = reply->view_epoch,
                               .attests = reply->attests,
                               .table_version = reply->table_version,
                               .confirmation_age = reply->age_us < 0
                                                       ? std::nullopt
                                                       : std::optional(duration(reply->age_us))};
      bool is_newer = false;
      {
        const std::lock_guard lock(mutex_);
        is_newer = report.epoch > lease_.view().epoch;
      }
      if (is_newer) {
        // Applying the report first would end the lease on the current view and refuse work.
        TryVerifyWithStore();
      }
      const std::lock_guard lock(mutex_);
      lease_.OnReport(reply->sender, reply->incarnation, report, sent_at);
    });
  }
}

void ownership_service::Propose() {
  std::vector<proposer_action> actions;
  {
    const std::lock_guard lock(mutex_);
    actions = proposer_.Advance(MonotonicNow());
  }
  for (const proposer_action& action : actions) {
    Execute(action);
  }
}

void ownership_service::Execute(const proposer_action& action) {
  switch (action.kind) {
    case proposer_action::action_kind::read_view:
      ReadViewFor(action);
      break;
    case proposer_action::action_kind::close_epoch:
      CloseEpochFor(action);
      break;
    case proposer_action::action_kind::commit:
      CommitFor(action);
      break;
  }
}

result<std::vector<ownership_view>> ownership_service::ReadViews(std::int64_t& revision) {
  const auto entry = store_.Get(view_key_);
  if (!entry) {
    if (entry.error().code == errc::not_found) {
      revision = 0;
      return std::vector{ownership_view{}};
    }
    return entry.error();
  }
  revision = entry->revision;
  return ParseOwnershipViews(entry->value);
}

void ownership_service::ReadViewFor(const proposer_action& /*action*/) {
  std::int64_t revision = 0;
  const auto views = ReadViews(revision);
  if (views && views->back().epoch > state_.view()->epoch) {
    VerifyWithStore();
  }
  const std::lock_guard lock(mutex_);
  if (!views) {
    proposer_.OnReadFailed(MonotonicNow());
    return;
  }
  AdoptLocked(*views);
  proposer_.OnRead(views->back(), revision, MonotonicNow());
}

void ownership_service::CloseEpochFor(const proposer_action& action) {
  for (const std::string& target : action.targets) {
    if (target == state_.self().name) {
      CloseEpoch(state_.self().region, action.epoch);
      const std::lock_guard lock(mutex_);
      proposer_.OnEpochClosed(target, action.epoch);
      continue;
    }
    const auto host = state_.FindMember(target);
    if (!host) {
      continue;
    }
    tasks_.Post([this, host = *host, epoch = action.epoch] {
      const auto closed = links_.CloseEpoch(host.peer_address, state_.self().region, epoch);
      if (closed && *closed) {
        const std::lock_guard lock(mutex_);
        proposer_.OnEpochClosed(host.name, epoch);
      }
    });
  }
}

void ownership_service::CommitFor(const proposer_action& action) {
  events_.Record(event_number::view_proposed,
                 {{"region", state_.self().region},
                  {"epoch", std::to_string(action.view.epoch)},
                  {"members", std::to_string(action.view.members.size())}});
  std::vector<ownership_view> views;
  {
    const std::lock_guard lock(mutex_);
    views = recent_views_;
  }
  views.push_back(action.view);
  if (views.size() > kMaxViewsKept) {
    views.erase(views.begin());
  }
  const auto revision = store_.Put(view_key_, FormatOwnershipViews(views), action.revision);
  view_proposer::commit_outcome outcome = view_proposer::commit_outcome::committed;
  if (!revision) {
    if (revision.error().code == errc::store_conflict) {
      outcome = view_proposer::commit_outcome::conflict;
    } else if (revision.error().code == errc::store_outcome_unknown) {
      outcome = view_proposer::commit_outcome::unknown;
    } else {
      outcome = view_proposer::commit_outcome::unavailable;
    }
  }
  if (outcome == view_proposer::commit_outcome::committed) {
    VerifyWithStore();
    PushViews(views);
  }
  const std::lock_guard lock(mutex_);
  proposer_.OnCommit(outcome, MonotonicNow());
  if (outcome == view_proposer::commit_outcome::committed) {
    AdoptLocked({action.view});
  }
}

void ownership_service::PushViews(const std::vector<ownership_view>& views) {
  const gossip_entry entry{.key = view_key_,
                           .incarnation = 0,
                           .version = views.back().epoch,
                           .value = FormatOwnershipViews(views)};
  // New views are rare, so pushing them to all members is cheap. A member that received the view in
  // a later gossip round would refuse work that other hosts already send to it.
  for (const member& host : state_.members()) {
    if (host.region == state_.self().region && host.name != state_.self().name &&
        host.state != member_state::dead) {
      links_.SendEntries(host.peer_address, ToThrift(std::vector{entry}));
    }
  }
}

void ownership_service::SendReleases() {
  std::optional<std::vector<std::string>> lost_replicas;
  std::int64_t epoch = 0;
  {
    const std::lock_guard lock(mutex_);
    lost_replicas = handover_.ReplicasToRelease();
    epoch = lease_.view().epoch;
  }
  if (!lost_replicas || std::any_of(lost_replicas->begin(), lost_replicas->end(), has_in_flight_)) {
    return;
  }
  for (const member& host : state_.members()) {
    if (host.region == state_.self().region && host.name != state_.self().name) {
      links_.SendRelease(host.peer_address, epoch);
    }
  }
  events_.Record(
      event_number::replica_released,
      {{"epoch", std::to_string(epoch)}, {"replicas", std::to_string(lost_replicas->size())}});
  const std::lock_guard lock(mutex_);
  if (lease_.view().epoch == epoch) {
    handover_.OnReleaseSent();
  }
}

}  // namespace limpetlever
