#include "server/control_loop.h"

#include <glog/logging.h>

#include <algorithm>

#include "base/errc.h"
#include "base/hash.h"
#include "control/watcher_choice.h"
#include "server/gossip_codec.h"
#include "server/gossip_push.h"
#include "server/host_metrics.h"
#include "server/host_server.h"
#include "server/replica_owner.h"
#include "server/task_runner.h"
#include "table/table_json.h"
#include "transport/key_value_client.h"
#include "transport/monotonic_clock.h"
#include "transport/peer_codec.h"
#include "transport/peer_links.h"

namespace limpetlever {

namespace {

constexpr duration kWatchPeriod = std::chrono::milliseconds(20);
constexpr duration kGossipPeriod = std::chrono::milliseconds(500);
constexpr duration kPollPeriod = std::chrono::milliseconds(500);
// Shorter than kPollPeriod, so that other hosts use a replica again soon after its handover.
constexpr duration kPublishPeriod = std::chrono::milliseconds(100);
constexpr duration kDistributePeriod = std::chrono::milliseconds(50);
// Time that the key-value service holds a watch without a change. Longer watches make fewer calls,
// but a restart of the service is noticed later.
constexpr duration kWatchTimeout = std::chrono::seconds(5);

}  // namespace

control_loop::control_loop(host_server& server, task_runner& tasks)
    : server_(server),
      tasks_(tasks),
      random_(Hash(server.state().self().name)),
      table_distribution_(Hash(server.state().self().name)),
      store_call_limiter_(Hash(server.state().self().name)) {}

void control_loop::Start() {
  tasks_.Every(kWatchPeriod, [this] { WatchTable(); });
  tasks_.Every(kGossipPeriod, [this] { ExchangeGossip(); });
  tasks_.Every(kPollPeriod, [this] { server_.owner().PollReplicas(); });
  tasks_.Every(kPublishPeriod, [this] { PublishStatuses(); });
  tasks_.Every(kDistributePeriod, [this] { DistributeTable(); });
}

void control_loop::OnTable(std::int64_t version) {
  {
    const std::lock_guard lock(mutex_);
    table_distribution_.AdoptIfNewer(version, MonotonicNow());
  }
  tasks_.Post([this] { DistributeTable(); });
}

bool control_loop::IsReady() const {
  const std::lock_guard lock(mutex_);
  return table_distribution_.IsReady();
}

void control_loop::WatchTable() {
  const member& self = server_.state().self();
  if (!IsWatcher(server_.state().members(), self.data_centre, self.name)) {
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    if (!store_call_limiter_.TryStart(call_kind::watch_table, MonotonicNow())) {
      return;
    }
  }
  const auto entry = server_.store().Watch("table", table_revision_, kWatchTimeout);
  bool has_changed = false;
  duration outage{};
  {
    const std::lock_guard lock(mutex_);
    store_call_limiter_.Finish(call_kind::watch_table, static_cast<bool>(entry), MonotonicNow());
    has_changed = is_store_available_ != static_cast<bool>(entry);
    is_store_available_ = static_cast<bool>(entry);
    if (has_changed && !entry) {
      store_lost_at_ = MonotonicNow();
    }
    outage = MonotonicNow() - store_lost_at_;
  }
  if (has_changed) {
    if (entry) {
      server_.events().Record(event_number::store_available,
                              {{"outage_ms", std::to_string(outage.count() / 1000)}});
    } else {
      server_.events().Record(event_number::store_unavailable, {{"error", entry.error().message}});
    }
  }
  if (!entry || !*entry) {
    return;
  }
  table_revision_ = (*entry)->revision;
  const auto table = ParseTableJson((*entry)->value, "table");
  if (!table) {
    LOG(ERROR) << "[702] invalid table in the key-value service: " << table.error().message;
    return;
  }
  server_.gossip().Put(
      {.key = "table", .incarnation = 0, .version = table->version, .value = (*entry)->value});
}

void control_loop::DistributeTable() {
  std::vector<distribution_action> actions;
  {
    std::vector<std::string> peers;
    for (const member& host : server_.state().members()) {
      if (host.name != server_.state().self().name && host.state != member_state::dead) {
        peers.push_back(host.name);
      }
    }
    const std::lock_guard lock(mutex_);
    table_distribution_.SetPeers(std::move(peers));
    actions = table_distribution_.Advance(MonotonicNow());
  }
  for (const distribution_action& action : actions) {
    Execute(action);
  }
}

void control_loop::Execute(const distribution_action& action) {
  const auto host = server_.state().FindMember(action.host);
  switch (action.kind) {
    case distribution_action::action_kind::push:
      if (host) {
        server_.links().SendEntries(host->peer_address, ToThrift(server_.gossip().Get({"table"})));
      }
      break;
    case distribution_action::action_kind::pull:
      tasks_.Post([this, action, host] {
        const bool is_answered = host && ExchangeWith(host->peer_address);
        const std::int64_t version = server_.state().table()->version;
        const std::lock_guard lock(mutex_);
        table_distribution_.OnPullResult(
            action.host, is_answered ? std::optional(version) : std::nullopt, MonotonicNow());
      });
      break;
    case distribution_action::action_kind::read_store:
      tasks_.Post([this] {
        const auto entry = server_.store().Get("table");
        std::optional<std::int64_t> version;
        if (entry) {
          if (const auto table = ParseTableJson(entry->value, "table")) {
            version = table->version;
            server_.gossip().Put({.key = "table",
                                  .incarnation = 0,
                                  .version = table->version,
                                  .value = entry->value});
          }
        } else if (entry.error().code == errc::not_found) {
          version = 0;
        }
        const std::lock_guard lock(mutex_);
        table_distribution_.OnStoreReadResult(version, MonotonicNow());
      });
      break;
  }
}

void control_loop::ExchangeGossip() {
  std::vector<member> peers = server_.state().members();
  std::erase_if(peers, [this](const member& host) {
    return host.name == server_.state().self().name || host.state == member_state::dead;
  });
  if (peers.empty()) {
    return;
  }
  std::uint64_t peer_index = 0;
  {
    const std::lock_guard lock(mutex_);
    peer_index = random_.Below(peers.size());
  }
  ExchangeWith(peers[peer_index].peer_address);
}

bool control_loop::ExchangeWith(const std::string& peer_address) {
  peer::ExchangeRequest request;
  request.sender = server_.state().self().name;
  request.incarnation = server_.state().self().incarnation;
  request.digest_hash = static_cast<std::int64_t>(server_.gossip().DigestHash());
  auto reply = server_.links().Exchange(peer_address, request);
  if (!reply) {
    return false;
  }
  if (reply->is_equal) {
    return true;
  }
  for (const gossip_entry& entry : server_.gossip().Digest()) {
    peer::GossipDigest item;
    item.key = entry.key;
    item.incarnation = entry.incarnation;
    item.version = entry.version;
    request.digest.push_back(item);
  }
  reply = server_.links().Exchange(peer_address, request);
  if (!reply) {
    return false;
  }
  server_.metrics().OnGossip(reply->entries);
  for (const gossip_entry& entry : FromThrift(reply->entries)) {
    server_.gossip().Put(entry);
  }
  if (!reply->wanted.empty()) {
    server_.links().SendEntries(peer_address, ToThrift(server_.gossip().Get(reply->wanted)));
  }
  return true;
}

void control_loop::PublishStatuses() {
  const std::vector<replica_status> statuses = server_.owner().ReplicaStatuses();
  RecordLimitChanges(statuses);
  const std::string text = FormatReplicaStatuses(statuses);
  if (text == last_published_statuses_) {
    return;
  }
  last_published_statuses_ = text;
  const gossip_entry entry{.key = "status/" + server_.state().self().name,
                           .incarnation = server_.state().self().incarnation,
                           .version = ++status_version_,
                           .value = text};
  server_.gossip().Put(entry);
  // Status changes are rare enough to be pushed to all hosts, which then learn of them before the
  // next periodic exchange.
  PushToLiveHosts(server_.state(), server_.links(), {entry});
}

void control_loop::RecordLimitChanges(const std::vector<replica_status>& statuses) {
  std::map<std::string, int> limits;
  for (const replica_status& status : statuses) {
    limits[status.address] = status.limit;
    const auto known = last_limits_.find(status.address);
    if (known == last_limits_.end() || known->second == status.limit) {
      continue;
    }
    std::string reason = "recovers";
    if (status.cold) {
      reason = "cold";
    } else if (status.limit < known->second) {
      reason = "slow or shedding load";
    }
    server_.events().Record(event_number::replica_limit_changed,
                            {{"replica", status.address},
                             {"from", std::to_string(known->second)},
                             {"limit", std::to_string(status.limit)},
                             {"reason", reason}});
  }
  last_limits_ = std::move(limits);
}

}  // namespace limpetlever
