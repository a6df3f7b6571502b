#include "control/table_distributor.h"

#include <algorithm>
#include <utility>

namespace limpetlever {

namespace {

constexpr std::size_t kPushPeers = 8;
constexpr std::size_t kStartupPeers = 3;
// A pull without an answer fails after this time, which allows for a round trip between regions and
// one retransmission.
constexpr duration kPullTimeout = std::chrono::milliseconds(500);
constexpr duration kStartupRetryPeriod = std::chrono::seconds(1);

}  // namespace

void table_distributor::SetPeers(std::vector<std::string> peers) {
  peers_ = std::move(peers);
}

std::vector<std::string> table_distributor::RandomPeers(std::size_t count) {
  std::vector<std::string> chosen = peers_;
  count = std::min(count, chosen.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(chosen[i], chosen[i + random_.Below(chosen.size() - i)]);
  }
  chosen.resize(count);
  return chosen;
}

bool table_distributor::AdoptIfNewer(std::int64_t version, instant /*now*/) {
  if (version <= version_) {
    return false;
  }
  version_ = version;
  std::erase_if(newer_peer_versions_,
                [version](const auto& item) { return item.second <= version; });
  return true;
}

void table_distributor::OnPeerVersion(const std::string& host,
                                      std::int64_t version,
                                      instant /*now*/) {
  if (version > version_) {
    newer_peer_versions_[host] = std::max(newer_peer_versions_[host], version);
  }
}

void table_distributor::OnPullResult(const std::string& host,
                                     std::optional<std::int64_t> version,
                                     instant now) {
  pull_deadlines_.erase(host);
  newer_peer_versions_.erase(host);
  if (version && *version > 0) {
    startup_peers_with_table_.insert(host);
    AdoptIfNewer(*version, now);
  }
  startup_peers_pending_.erase(host);
  UpdateReadiness();
}

void table_distributor::OnStoreReadResult(std::optional<std::int64_t> version, instant now) {
  store_pending_ = false;
  if (version) {
    store_answered_ = true;
    AdoptIfNewer(*version, now);
  }
  UpdateReadiness();
}

void table_distributor::UpdateReadiness() {
  // The key-value service has the newest version. Without its answer, wait until every peer that
  // was asked has answered or failed, because a single peer may have lost its connections and hold
  // an old table.
  if (!ready_ && version_ > 0) {
    ready_ = store_answered_ || (!store_pending_ && startup_peers_pending_.empty() &&
                                 !startup_peers_with_table_.empty());
  }
}

std::vector<distribution_action> table_distributor::Advance(instant now) {
  using enum distribution_action::action_kind;
  std::vector<distribution_action> actions;
  std::vector<std::string> timed_out;
  for (const auto& [host, deadline] : pull_deadlines_) {
    if (now >= deadline) {
      timed_out.push_back(host);
    }
  }
  for (const std::string& host : timed_out) {
    OnPullResult(host, std::nullopt, now);
  }
  if (!ready_ && now >= next_startup_attempt_) {
    next_startup_attempt_ = now + kStartupRetryPeriod;
    if (!store_pending_) {
      store_pending_ = true;
      actions.push_back({.kind = read_store});
    }
    for (const std::string& host : RandomPeers(kStartupPeers)) {
      if (pull_deadlines_.emplace(host, now + kPullTimeout).second) {
        startup_peers_pending_.insert(host);
        actions.push_back({.kind = pull, .host = host});
      }
    }
  }
  // No pull while another is in flight, since several peers usually report the same new version
  // together.
  if (pull_deadlines_.empty() && !newer_peer_versions_.empty()) {
    const auto newest =
        std::max_element(newer_peer_versions_.begin(), newer_peer_versions_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    pull_deadlines_.emplace(newest->first, now + kPullTimeout);
    actions.push_back({.kind = pull, .host = newest->first, .from_version = version_});
  }
  if (version_ > pushed_version_) {
    for (const std::string& host : RandomPeers(kPushPeers)) {
      actions.push_back(
          {.kind = push, .host = host, .from_version = pushed_version_, .version = version_});
    }
    pushed_version_ = version_;
  }
  return actions;
}

std::optional<instant> table_distributor::NextTimer() const {
  std::optional<instant> next;
  if (!ready_) {
    next = next_startup_attempt_;
  }
  for (const auto& [host, deadline] : pull_deadlines_) {
    next = next ? std::min(*next, deadline) : deadline;
  }
  return next;
}

}  // namespace limpetlever
