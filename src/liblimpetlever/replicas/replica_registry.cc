#include "replicas/replica_registry.h"

#include <algorithm>
#include <utility>

#include "replicas/replica_record.h"

namespace limpetlever {

replica_registry::replica_registry(std::string own_data_centre)
    : own_data_centre_(std::move(own_data_centre)) {}

bool replica_registry::ShouldUse(const replica& registered) const {
  return !registered.is_draining && !taken_out_.contains(registered.data_centre);
}

void replica_registry::RemoveFromService(const std::shared_ptr<replica_record>& record) {
  const auto found = by_service_.find(record->registered.service);
  if (found == by_service_.end()) {
    return;
  }
  std::erase(found->second, record);
  if (found->second.empty()) {
    by_service_.erase(found);
  }
}

bool replica_registry::Put(const replica& registered, instant now) {
  const auto known = by_id_.find(registered.id);
  if (known != by_id_.end()) {
    replica_record& record = *known->second;
    const bool is_same_process = record.registered.started_ms == registered.started_ms &&
                                 record.registered.address == registered.address &&
                                 record.registered.service == registered.service;
    if (is_same_process) {
      const bool was_usable = record.is_usable;
      record.registered = registered;
      record.cold_until = now + registered.warm_up_left;
      record.is_usable = ShouldUse(registered);
      return was_usable != record.is_usable;
    }
    Remove(registered.id);
  }
  auto record = std::make_shared<replica_record>();
  record->registered = registered;
  record->cold_until = now + registered.warm_up_left;
  record->is_usable = ShouldUse(registered);
  record->is_local = registered.data_centre == own_data_centre_;
  record->limit.SetShare(sharers_.ShareOf(registered.id), now);
  by_service_[registered.service].push_back(record);
  by_id_.emplace(registered.id, std::move(record));
  return true;
}

bool replica_registry::Remove(const std::string& id) {
  const auto known = by_id_.find(id);
  if (known == by_id_.end()) {
    return false;
  }
  known->second->is_usable = false;
  RemoveFromService(known->second);
  by_id_.erase(known);
  return true;
}

bool replica_registry::SetTakenOut(std::set<std::string> data_centres) {
  if (data_centres == taken_out_) {
    return false;
  }
  taken_out_ = std::move(data_centres);
  for (const auto& [id, record] : by_id_) {
    record->is_usable = ShouldUse(record->registered);
  }
  return true;
}

void replica_registry::SetLimitSharers(limit_sharers sharers, instant now) {
  if (sharers == sharers_) {
    return;
  }
  sharers_ = std::move(sharers);
  for (const auto& [id, record] : by_id_) {
    record->limit.SetShare(sharers_.ShareOf(id), now);
  }
}

const replica_registry::record_list& replica_registry::FindByService(
    const std::string& service) const {
  static const record_list none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

std::shared_ptr<replica_record> replica_registry::Find(const std::string& id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

std::vector<std::string> replica_registry::Ids() const {
  std::vector<std::string> ids;
  ids.reserve(by_id_.size());
  for (const auto& [id, record] : by_id_) {
    ids.push_back(id);
  }
  return ids;
}

}  // namespace limpetlever
