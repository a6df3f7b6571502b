#include "replicas/replica_registry.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "config/service_settings.h"
#include "replicas/admission.h"
#include "replicas/replica_record.h"

namespace limpetlever {

namespace {

// Longer than an outage of the store, at the end of which servers register again.
constexpr duration kRemovedRetention = std::chrono::minutes(10);
// Bounds the memory, about 500 bytes a record, if servers come and go without end.
constexpr std::size_t kMaxRemoved = 4096;
// A later process that is alive writes its entry again within a heartbeat of 1.2 s.
constexpr duration kHoldBackTime = std::chrono::seconds(5);

bool IsSameProcess(const replica& a, const replica& b) {
  return a.started_ms == b.started_ms && a.address == b.address && a.service == b.service;
}

}  // namespace

replica_registry::replica_registry(std::string own_data_centre)
    : own_data_centre_(std::move(own_data_centre)) {}

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
    if (IsSameProcess(record.registered, registered)) {
      const bool was_usable = IsUsable(record);
      Update(record, registered, now);
      return was_usable != IsUsable(record);
    }
    record.is_replaced = true;
    Remove(registered.id, now);
  }
  auto record = TakeRemoved(registered, now);
  if (!record) {
    record = std::make_shared<replica_record>();
    record->is_local = registered.data_centre == own_data_centre_;
  }
  Update(*record, registered, now);
  ApplyLimits(*record, now);
  by_service_[registered.service].push_back(record);
  by_id_.emplace(registered.id, std::move(record));
  return true;
}

void replica_registry::ApplyLimits(replica_record& record, instant now) const {
  const limit_share share = sharers_.ShareOf(record.registered.id);
  record.limit.SetShare(share, now);
  const auto settings = warm_up_settings_.find(record.registered.service);
  const warm_up_settings applied =
      settings == warm_up_settings_.end() ? warm_up_settings{} : settings->second;
  record.warm_up.SetService(applied.requests_per_s, applied.warm_up, now);
  record.warm_up.SetShare(share, is_settled_, now);
}

void replica_registry::Update(replica_record& record, const replica& registered, instant now) {
  if (registered != record.registered) {
    // An entry that is only read again says nothing new of the time since it was written.
    record.warm_up.OnColdUntil(now + registered.warm_up_left, now);
  }
  record.registered = registered;
  record.cold_until = now + registered.warm_up_left;
  record.is_registered = true;
  record.is_data_centre_out = taken_out_.contains(registered.data_centre);
  UpdateExclusion(record, now);
}

bool replica_registry::HoldBack(const replica& registered, instant now) {
  std::optional<held_back_entry> before;
  if (const auto held = held_back_.find(registered.id); held != held_back_.end()) {
    before = held->second;
    held_back_.erase(held);
  }
  const auto known = by_id_.find(registered.id);
  const auto removed = removed_.find(registered.id);
  const replica_record* latest = known != by_id_.end()       ? known->second.get()
                                 : removed != removed_.end() ? removed->second.record.get()
                                                             : nullptr;
  if (latest == nullptr) {
    return false;
  }
  const replica& newest = latest->registered;
  if (registered.started_ms > newest.started_ms) {
    return false;
  }
  if (registered.started_ms == newest.started_ms) {
    if (registered.sequence < newest.sequence) {
      // The process counts its entries, so that its next one is newer.
      return true;
    }
    const bool is_copied = known == by_id_.end() && removed->second.is_of_earlier_history &&
                           registered.sequence == newest.sequence;
    if (!is_copied) {
      return false;
    }
  }
  const bool is_of_same_process = before && before->registered.started_ms == registered.started_ms;
  held_back_[registered.id] = {.registered = registered,
                               .at = is_of_same_process ? before->at : now};
  return true;
}

void replica_registry::BeginHistory() {
  for (auto& [id, removed] : removed_) {
    removed.is_of_earlier_history = true;
  }
}

std::vector<replica> replica_registry::TakeLastingEntries(instant now) {
  std::vector<replica> lasting;
  std::erase_if(held_back_, [&](const auto& item) {
    const bool is_lasting = now - item.second.at >= kHoldBackTime;
    if (is_lasting) {
      lasting.push_back(item.second.registered);
    }
    return is_lasting;
  });
  return lasting;
}

bool replica_registry::Remove(const std::string& id, instant now) {
  held_back_.erase(id);
  const auto known = by_id_.find(id);
  if (known == by_id_.end()) {
    return false;
  }
  ForgetRemoved(now);
  known->second->is_registered = false;
  UpdateExclusion(*known->second, now);
  RemoveFromService(known->second);
  removed_[id] = {.record = known->second, .at = now};
  by_id_.erase(known);
  return true;
}

std::shared_ptr<replica_record> replica_registry::TakeRemoved(const replica& registered,
                                                              instant now) {
  ForgetRemoved(now);
  const auto found = removed_.find(registered.id);
  if (found == removed_.end() || !IsSameProcess(found->second.record->registered, registered)) {
    return nullptr;
  }
  auto record = std::move(found->second.record);
  removed_.erase(found);
  return record;
}

void replica_registry::ForgetRemoved(instant now) {
  std::erase_if(removed_,
                [now](const auto& item) { return now - item.second.at > kRemovedRetention; });
  if (removed_.size() >= kMaxRemoved) {
    removed_.clear();
  }
}

bool replica_registry::SetTakenOut(std::set<std::string> data_centres, instant now) {
  if (data_centres == taken_out_) {
    return false;
  }
  taken_out_ = std::move(data_centres);
  for (const auto& [id, record] : by_id_) {
    record->is_data_centre_out = taken_out_.contains(record->registered.data_centre);
    UpdateExclusion(*record, now);
  }
  return true;
}

void replica_registry::SetLimitSharers(limit_sharers sharers, bool is_settled, instant now) {
  if (sharers == sharers_ && is_settled == is_settled_) {
    return;
  }
  sharers_ = std::move(sharers);
  is_settled_ = is_settled;
  for (const auto& [id, record] : by_id_) {
    ApplyLimits(*record, now);
  }
}

void replica_registry::SetServices(const std::vector<service_settings>& services, instant now) {
  std::unordered_map<std::string, warm_up_settings> settings;
  for (const service_settings& service : services) {
    if (service.cold_requests_per_s > 0.0) {
      settings[service.name] = {.requests_per_s = service.cold_requests_per_s,
                                .warm_up = service.warm_up};
    }
  }
  if (settings == warm_up_settings_) {
    return;
  }
  warm_up_settings_ = std::move(settings);
  for (const auto& [id, record] : by_id_) {
    ApplyLimits(*record, now);
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

std::size_t replica_registry::CountCold(instant now) const {
  return static_cast<std::size_t>(
      std::count_if(by_id_.begin(), by_id_.end(),
                    [now](const auto& item) { return item.second->warm_up.IsLimiting(now); }));
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
