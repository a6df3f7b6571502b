#include "server/cluster_state.h"

#include <utility>

namespace limpetlever {

cluster_state::cluster_state(member self)
    : self_(std::move(self)),
      table_(std::make_shared<const operator_table>()),
      view_(std::make_shared<const ownership_view>()),
      routing_(std::make_shared<const routing_snapshot>()) {
  members_.emplace(self_.name, self_);
}

bool cluster_state::AdoptTable(operator_table table) {
  const std::lock_guard lock(mutex_);
  if (table.version <= table_->version) {
    return false;
  }
  table_ = std::make_shared<const operator_table>(std::move(table));
  RebuildOwners();
  RebuildRouting();
  return true;
}

std::shared_ptr<const operator_table> cluster_state::table() const {
  const std::lock_guard lock(mutex_);
  return table_;
}

void cluster_state::SetMember(const member& host) {
  const std::lock_guard lock(mutex_);
  const auto known = members_.find(host.name);
  const bool is_changed = known == members_.end() || known->second.state != host.state;
  members_[host.name] = host;
  if (is_changed) {
    RebuildRouting();
  }
}

std::vector<member> cluster_state::members() const {
  const std::lock_guard lock(mutex_);
  std::vector<member> all;
  for (const auto& [name, host] : members_) {
    all.push_back(host);
  }
  return all;
}

std::optional<member> cluster_state::FindMember(const std::string& name) const {
  const std::lock_guard lock(mutex_);
  const auto found = members_.find(name);
  return found == members_.end() ? std::nullopt : std::optional(found->second);
}

bool cluster_state::AdoptView(ownership_view view) {
  const std::lock_guard lock(mutex_);
  if (view.epoch <= view_->epoch) {
    return false;
  }
  view_ = std::make_shared<const ownership_view>(std::move(view));
  RebuildOwners();
  RebuildRouting();
  return true;
}

std::shared_ptr<const ownership_view> cluster_state::view() const {
  const std::lock_guard lock(mutex_);
  return view_;
}

void cluster_state::SetReplicaStatuses(const std::string& owner,
                                       std::vector<replica_status> statuses) {
  const std::lock_guard lock(mutex_);
  if (statuses_[owner] == statuses) {
    return;
  }
  statuses_[owner] = std::move(statuses);
  RebuildRouting();
}

std::map<std::string, replica_status> cluster_state::MergedStatuses() const {
  // If two hosts report on a replica, the report of its owner in the current view is used. Reports
  // of dead hosts are left out: until the next owner reports, no host can run attempts there.
  std::map<std::string, replica_status> merged;
  for (const auto& [owner, statuses] : statuses_) {
    const auto host = members_.find(owner);
    if (host != members_.end() && host->second.state == member_state::dead) {
      continue;
    }
    for (const replica_status& status : statuses) {
      const view_member* current = owners_.Find(status.address);
      if (current == nullptr) {
        continue;
      }
      if (current->name == owner || !merged.contains(status.address)) {
        merged[status.address] = status;
      }
    }
  }
  return merged;
}

std::map<std::string, replica_status> cluster_state::statuses() const {
  const std::lock_guard lock(mutex_);
  return MergedStatuses();
}

void cluster_state::RebuildOwners() {
  std::vector<replica_location> locations;
  for (const backend_server_row& server : table_->backend_servers) {
    locations.push_back({.address = server.address, .data_centre = server.data_centre});
  }
  owners_ = owner_index(*view_, locations);
}

void cluster_state::RebuildRouting() {
  routing_ =
      std::make_shared<const routing_snapshot>(BuildRoutingSnapshot(*table_, MergedStatuses()));
}

std::shared_ptr<const routing_snapshot> cluster_state::routing() const {
  const std::lock_guard lock(mutex_);
  return routing_;
}

std::optional<member> cluster_state::FindReplicaOwner(const std::string& address) const {
  const std::lock_guard lock(mutex_);
  const view_member* owner = owners_.Find(address);
  if (owner == nullptr) {
    return std::nullopt;
  }
  const auto found = members_.find(owner->name);
  return found == members_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<backend_server_row> cluster_state::OwnedReplicas() const {
  const std::lock_guard lock(mutex_);
  std::vector<backend_server_row> own;
  for (const backend_server_row& server : table_->backend_servers) {
    const view_member* owner = owners_.Find(server.address);
    if (owner != nullptr && owner->name == self_.name) {
      own.push_back(server);
    }
  }
  return own;
}

}  // namespace limpetlever
