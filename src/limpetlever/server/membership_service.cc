#include "server/membership_service.h"

#include <algorithm>

#include "base/hash.h"
#include "control/gossip_map.h"
#include "events/event_log.h"
#include "server/cluster_state.h"
#include "server/ownership_service.h"
#include "server/task_runner.h"
#include "transport/host_list_client.h"
#include "transport/monotonic_clock.h"
#include "transport/peer_codec.h"
#include "transport/peer_links.h"

namespace limpetlever {

namespace {

constexpr duration kAdvancePeriod = std::chrono::milliseconds(50);
constexpr duration kHostListPeriod = std::chrono::seconds(1);

}  // namespace

membership_service::membership_service(cluster_state& state,
                                       host_list_client& host_list,
                                       peer_links& links,
                                       gossip_map& gossip,
                                       event_log& events,
                                       task_runner& tasks,
                                       ownership_service& ownership)
    : state_(state),
      host_list_(host_list),
      links_(links),
      gossip_(gossip),
      events_(events),
      tasks_(tasks),
      ownership_(ownership),
      tracker_(state.self(), Hash(state.self().name), MonotonicNow()) {}

void membership_service::Start() {
  tasks_.Every(kHostListPeriod, [this] { ReadHostList(); });
  tasks_.Every(kAdvancePeriod, [this] { Advance(); });
}

void membership_service::OnGossipEntry(const gossip_entry& entry) {
  const std::lock_guard lock(mutex_);
  tracker_.MergeEntry(entry, MonotonicNow());
}

void membership_service::Leave() {
  {
    const std::lock_guard lock(mutex_);
    tracker_.Leave(MonotonicNow());
  }
  PublishChanges();
}

bool membership_service::HandleProbe(const std::string& target, const std::string& asker) {
  if (const auto host = state_.FindMember(asker)) {
    std::vector<gossip_entry> updates;
    {
      const std::lock_guard lock(mutex_);
      updates = tracker_.CollectUpdates(asker);
    }
    if (!updates.empty()) {
      links_.SendEntries(host->peer_address, ToThrift(updates));
    }
  }
  if (target.empty() || target == state_.self().name) {
    return true;
  }
  const auto host = state_.FindMember(target);
  if (!host) {
    return false;
  }
  const auto answer = links_.Probe(host->peer_address, target);
  return answer && *answer;
}

void membership_service::ReadHostList() {
  const auto hosts = host_list_.Read();
  if (!hosts) {
    return;
  }
  const std::lock_guard lock(mutex_);
  tracker_.SetRegisteredHosts(*hosts);
  // A listed host that has sent no message yet gets an entry, so that it can be probed at the
  // address in the list.
  for (const member& host : *hosts) {
    if (host.name != state_.self().name && !tracker_.Find(host.name) &&
        !state_.FindMember(host.name)) {
      member listed_host = host;
      listed_host.state = member_state::dead;
      state_.SetMember(listed_host);
    }
  }
}

void membership_service::Advance() {
  std::vector<probe_action> probes;
  {
    const std::lock_guard lock(mutex_);
    probes = tracker_.Advance(MonotonicNow());
  }
  for (const probe_action& probe : probes) {
    SendProbe(probe);
  }
  PublishChanges();
}

void membership_service::SendProbe(const probe_action& probe) {
  const auto next_hop = state_.FindMember(probe.relay.empty() ? probe.target : probe.relay);
  if (!next_hop) {
    const std::lock_guard lock(mutex_);
    tracker_.OnProbeResult(probe.id, false, MonotonicNow());
    return;
  }
  tasks_.Post([this, probe, address = next_hop->peer_address] {
    if (!probe.updates.empty()) {
      links_.SendEntries(address, ToThrift(probe.updates));
    }
    const auto answer = links_.Probe(address, probe.target);
    const std::lock_guard lock(mutex_);
    tracker_.OnProbeResult(probe.id, answer && *answer, MonotonicNow());
  });
}

void membership_service::PublishChanges() {
  std::vector<member> members;
  std::set<std::string> stopped_members;
  bool is_changed = false;
  const auto view = state_.view();
  {
    const std::lock_guard lock(mutex_);
    members = tracker_.Members();
    is_changed = tracker_.change_count() != published_change_count_;
    published_change_count_ = tracker_.change_count();
    for (const view_member& host : view->members) {
      if (tracker_.HasLeftFleet(host.name, MonotonicNow())) {
        stopped_members.insert(host.name);
      }
    }
  }
  if (is_changed) {
    for (const member& host : members) {
      const auto known = state_.FindMember(host.name);
      if (!known || known->state != host.state || known->incarnation != host.incarnation) {
        events_.Record(event_number::member_state_changed,
                       {{"member", host.name},
                        {"from", known ? ToString(known->state) : "unknown"},
                        {"to", ToString(host.state)},
                        {"incarnation", std::to_string(host.incarnation)}});
      }
      state_.SetMember(host);
    }
  }
  ownership_.SetMembers(members, std::move(stopped_members));
}

}  // namespace limpetlever
