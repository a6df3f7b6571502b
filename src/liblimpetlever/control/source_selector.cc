#include "control/source_selector.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/hash.h"
#include "control/watcher_choice.h"

namespace limpetlever {

namespace {

// Up to this fleet size every host watches the key-value service. With watches of 28 s, 24 hosts
// make about one call a second.
constexpr int kMaxDirectHosts = 24;
// Watchers of other data centres to try after those of the host's own data centre. More of them
// would delay the fallback to the key-value service.
constexpr std::size_t kRemoteCandidates = 1;
// Time until a failed source is tried again. The key-value service may refuse one host for some
// seconds while it serves others, which relay its changes meanwhile.
constexpr duration kRetryDelay = std::chrono::seconds(15);
// Stands for the key-value service among the names of sources.
constexpr const char* kKeyValueService = "";

}  // namespace

source_selector::source_selector(std::string own_name, std::string own_data_centre)
    : own_name_(std::move(own_name)), own_data_centre_(std::move(own_data_centre)) {}

bool source_selector::ShouldRelay(const std::vector<member>& members) const {
  return IsWatcher(members, own_data_centre_, own_name_);
}

std::vector<std::string> source_selector::Candidates(const std::vector<member>& members) const {
  std::vector<std::string> local = ChooseWatchers(members, own_data_centre_);
  std::erase(local, own_name_);
  // Hosts start at different watchers, which distributes the followers over the watchers.
  if (!local.empty()) {
    const auto first = static_cast<std::ptrdiff_t>(Hash(own_name_) % local.size());
    std::rotate(local.begin(), local.begin() + first, local.end());
  }
  std::set<std::string> data_centres;
  for (const member& host : members) {
    if (host.data_centre != own_data_centre_) {
      data_centres.insert(host.data_centre);
    }
  }
  std::vector<std::string> remote;
  for (const std::string& data_centre : data_centres) {
    const auto watchers = ChooseWatchers(members, data_centre);
    remote.insert(remote.end(), watchers.begin(), watchers.end());
  }
  std::sort(remote.begin(), remote.end(), [this](const std::string& a, const std::string& b) {
    return CombineHashes(Hash(own_name_), Hash(a)) < CombineHashes(Hash(own_name_), Hash(b));
  });
  remote.resize(std::min(remote.size(), kRemoteCandidates));
  local.insert(local.end(), remote.begin(), remote.end());
  return local;
}

const std::string& source_selector::Choose(const std::vector<member>& members,
                                           int fleet_size,
                                           instant now) {
  std::erase_if(failed_at_, [now](const auto& item) { return now - item.second >= kRetryDelay; });
  std::vector<std::string> hosts = Candidates(members);
  std::erase_if(hosts, [&](const std::string& name) {
    const bool is_alive = std::any_of(members.begin(), members.end(), [&name](const member& host) {
      return host.name == name && host.state == member_state::alive;
    });
    return !is_alive || failed_at_.contains(name);
  });
  const bool is_direct =
      fleet_size <= kMaxDirectHosts || IsWatcher(members, own_data_centre_, own_name_);
  const bool has_service_failed = failed_at_.contains(kKeyValueService);
  if (hosts.empty() || (is_direct && !has_service_failed)) {
    current_ = kKeyValueService;
  } else if (std::find(hosts.begin(), hosts.end(), current_) == hosts.end()) {
    current_ = hosts.front();
  }
  return current_;
}

void source_selector::OnFailed(instant now) {
  failed_at_[current_] = now;
}

}  // namespace limpetlever
