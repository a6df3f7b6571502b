#include "control/source_choice.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/hash.h"
#include "control/watcher_choice.h"

namespace limpetlever {

namespace {

// Up to this size every host watches the service: a watch of 28 s costs 24 hosts one call a second.
constexpr int kMostDirectHosts = 24;
// Watchers of other data centres that are tried after those of the own one. More would delay the
// turn to the service, which is the last resort.
constexpr std::size_t kFarCandidates = 1;
// A source that failed is tried again after this time. The service may turn a host away for some
// seconds and serve the others, which then relay what it says.
constexpr duration kFailedTime = std::chrono::seconds(15);
// The name of the key-value service among the sources.
constexpr const char* kService = "";

}  // namespace

source_choice::source_choice(std::string own_name, std::string own_data_centre)
    : own_name_(std::move(own_name)), own_data_centre_(std::move(own_data_centre)) {}

bool source_choice::IsRelay(const std::vector<member>& members) const {
  return IsWatcher(members, own_data_centre_, own_name_);
}

std::vector<std::string> source_choice::Candidates(const std::vector<member>& members) const {
  std::vector<std::string> near = ChooseWatchers(members, own_data_centre_);
  std::erase(near, own_name_);
  // Each host begins elsewhere, so that the watchers share the followers.
  if (!near.empty()) {
    const auto first = static_cast<std::ptrdiff_t>(Hash(own_name_) % near.size());
    std::rotate(near.begin(), near.begin() + first, near.end());
  }
  std::set<std::string> data_centres;
  for (const member& host : members) {
    if (host.data_centre != own_data_centre_) {
      data_centres.insert(host.data_centre);
    }
  }
  std::vector<std::string> far;
  for (const std::string& data_centre : data_centres) {
    const auto watchers = ChooseWatchers(members, data_centre);
    far.insert(far.end(), watchers.begin(), watchers.end());
  }
  std::sort(far.begin(), far.end(), [this](const std::string& a, const std::string& b) {
    return Combine(Hash(own_name_), Hash(a)) < Combine(Hash(own_name_), Hash(b));
  });
  far.resize(std::min(far.size(), kFarCandidates));
  near.insert(near.end(), far.begin(), far.end());
  return near;
}

const std::string& source_choice::Choose(const std::vector<member>& members,
                                         int fleet_size,
                                         instant now) {
  std::erase_if(failed_at_, [now](const auto& item) { return now - item.second >= kFailedTime; });
  std::vector<std::string> hosts = Candidates(members);
  std::erase_if(hosts, [&](const std::string& name) {
    const bool is_alive = std::any_of(members.begin(), members.end(), [&name](const member& host) {
      return host.name == name && host.state == member_state::alive;
    });
    return !is_alive || failed_at_.contains(name);
  });
  const bool is_direct =
      fleet_size <= kMostDirectHosts || IsWatcher(members, own_data_centre_, own_name_);
  const bool has_service_failed = failed_at_.contains(kService);
  if (hosts.empty() || (is_direct && !has_service_failed)) {
    current_ = kService;
  } else if (std::find(hosts.begin(), hosts.end(), current_) == hosts.end()) {
    current_ = hosts.front();
  }
  return current_;
}

void source_choice::OnFailed(instant now) {
  failed_at_[current_] = now;
}

}  // namespace limpetlever
