#include "control/source_selector.h"

#include <algorithm>
#include <cstdint>
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
// Time until the key-value service is tried again. It may refuse one host for some seconds while it
// serves others, which relay its changes meanwhile.
constexpr duration kServiceRetryDelay = std::chrono::seconds(15);
// Time until a failed watcher is tried again: a watcher has the service again soon after others do.
constexpr duration kHostRetryDelay = std::chrono::seconds(4);
// A host that is left behind tries the service again sooner, as it does answer others.
constexpr duration kLeftBehindRetryDelay = std::chrono::seconds(2);
// Failures with shorter gaps than this belong together.
constexpr duration kFailureGap = std::chrono::seconds(5);
// Watchers are given this time to find that the service answers again.
constexpr duration kFallbackDelay = std::chrono::seconds(3);
// Stands for the key-value service among the names of sources.
constexpr const char* kKeyValueService = "";

}  // namespace

source_selector::source_selector(std::string own_name, std::string own_data_centre)
    : own_name_(std::move(own_name)), own_data_centre_(std::move(own_data_centre)) {}

bool source_selector::ShouldRelay(const std::vector<member>& members) const {
  return IsWatcher(members, own_data_centre_, own_name_);
}

int source_selector::CountDirectHosts(const std::vector<member>& members) {
  std::map<std::string, int> alive;
  for (const member& host : members) {
    if (host.state == member_state::alive || host.state == member_state::suspect) {
      ++alive[host.data_centre];
    }
  }
  const bool is_large = static_cast<int>(members.size()) > kMaxDirectHosts;
  int direct = 0;
  for (const auto& [data_centre, hosts] : alive) {
    direct += is_large ? std::min(hosts, static_cast<int>(kWatchersPerDataCentre)) : hosts;
  }
  return direct;
}

std::vector<std::string> source_selector::RemoteCandidates(const std::vector<member>& members,
                                                           bool has_all) const {
  const std::uint64_t own_hash = Hash(own_name_);
  std::map<std::uint64_t, std::string> data_centres;
  for (const member& host : members) {
    if (host.data_centre != own_data_centre_) {
      data_centres.emplace(CombineHashes(own_hash, Hash(host.data_centre)), host.data_centre);
    }
  }
  std::vector<std::string> remote;
  for (const auto& [rank, data_centre] : data_centres) {
    std::vector<std::string> watchers = ChooseWatchers(members, data_centre);
    if (watchers.empty()) {
      continue;  // All hosts of the data centre are lost.
    }
    const auto first = static_cast<std::ptrdiff_t>(own_hash % watchers.size());
    std::rotate(watchers.begin(), watchers.begin() + first, watchers.end());
    remote.insert(remote.end(), watchers.begin(), watchers.end());
    if (!has_all) {
      remote.resize(std::min(remote.size(), kRemoteCandidates));
      break;
    }
  }
  return remote;
}

std::vector<std::string> source_selector::Candidates(const std::vector<member>& members,
                                                     bool is_left_behind) const {
  std::vector<std::string> local = ChooseWatchers(members, own_data_centre_);
  std::erase(local, own_name_);
  // Hosts start at different watchers, which distributes the followers over the watchers.
  if (!local.empty()) {
    const auto first = static_cast<std::ptrdiff_t>(Hash(own_name_) % local.size());
    std::rotate(local.begin(), local.begin() + first, local.end());
  }
  const std::vector<std::string> remote = RemoteCandidates(members, is_left_behind);
  local.insert(local.end(), remote.begin(), remote.end());
  return local;
}

std::string source_selector::LeastRecentlyFailed(const std::vector<std::string>& hosts) const {
  return *std::min_element(hosts.begin(), hosts.end(),
                           [this](const std::string& a, const std::string& b) {
                             return failed_at_.at(a) < failed_at_.at(b);
                           });
}

const std::string& source_selector::Choose(const std::vector<member>& members,
                                           int fleet_size,
                                           instant now,
                                           const source_evidence& evidence) {
  std::erase_if(failed_at_, [now](const auto& item) {
    return now - item.second >=
           (item.first == kKeyValueService ? kServiceRetryDelay : kHostRetryDelay);
  });
  std::vector<std::string> alive = Candidates(members, evidence.is_left_behind);
  std::erase_if(alive, [&members](const std::string& name) {
    return std::none_of(members.begin(), members.end(), [&name](const member& host) {
      return host.name == name && host.state == member_state::alive;
    });
  });
  std::vector<std::string> hosts = alive;
  std::erase_if(hosts, [this](const std::string& name) { return failed_at_.contains(name); });
  const bool is_direct =
      fleet_size <= kMaxDirectHosts || IsWatcher(members, own_data_centre_, own_name_);
  has_no_watcher_ = !is_direct && hosts.empty();
  if (is_direct && (!HasServiceFailed(evidence) || !evidence.are_others_ahead)) {
    current_ = kKeyValueService;
  } else if (hosts.empty()) {
    const bool is_called = is_direct || alive.empty() || MayFallBack(evidence, now);
    current_ = is_called ? kKeyValueService : LeastRecentlyFailed(alive);
  } else if (std::find(hosts.begin(), hosts.end(), current_) == hosts.end()) {
    current_ = hosts.front();
  }
  return current_;
}

bool source_selector::HasServiceFailed(const source_evidence& evidence) const {
  const auto failed = failed_at_.find(kKeyValueService);
  if (failed == failed_at_.end()) {
    return false;
  }
  const bool has_answered_since = evidence.is_service_answering && evidence.service_answered_at &&
                                  *evidence.service_answered_at >= failed->second;
  return !has_answered_since;
}

bool source_selector::MayFallBack(const source_evidence& evidence, instant now) const {
  const auto service_failed = failed_at_.find(kKeyValueService);
  const bool has_failed_lately =
      service_failed != failed_at_.end() && now - service_failed->second < kLeftBehindRetryDelay;
  const bool may_call =
      service_failed == failed_at_.end() || (evidence.is_left_behind && !has_failed_lately);
  const bool has_answered_lately =
      !evidence.service_answered_at || *evidence.service_answered_at > failures_began_;
  const bool is_answering = evidence.is_service_answering && has_answered_lately && may_call;
  const instant since = std::max(failures_began_, evidence.service_answers_since);
  return is_answering && (evidence.is_left_behind || now - since >= kFallbackDelay);
}

void source_selector::OnFailed(instant now) {
  failed_at_[current_] = now;
  if (current_ != kKeyValueService) {
    failures_began_ = now - last_failure_ > kFailureGap ? now : failures_began_;
    last_failure_ = now;
  }
}

}  // namespace limpetlever
