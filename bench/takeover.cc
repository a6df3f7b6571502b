// Time from the instant when the members regard an owner as dead until its replicas are usable.
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "ownership/handover.h"
#include "ownership/view_proposer.h"
#include "registry.h"

namespace limpetlever {

namespace {

constexpr int kHosts = 15;

struct region_host {
  std::string name;
  std::unique_ptr<view_proposer> proposer;
  std::unique_ptr<handover> hand;
};

/**
 * Host 0 dies, and so do the first `dead_proposers` of the hosts that would propose. Calls take
 * 2 ms. Without views nothing replaces the owner before the list of hosts does, after `list_lag`.
 */
double Seconds(unsigned seed, int dead_proposers) {
  ownership_view view{.epoch = 4, .members = {}};
  std::vector<replica_location> replicas;
  for (int i = 0; i < kHosts; ++i) {
    view.members.push_back(
        {.name = "h" + std::to_string(10 + i), .data_centre = "dc", .incarnation = 1});
  }
  for (int i = 0; i < 60; ++i) {
    replicas.push_back({.address = "r" + std::to_string(i), .data_centre = "dc"});
  }
  ownership_view next = view;
  next.epoch = 5;
  next.members.erase(next.members.begin());
  std::vector<region_host> hosts;
  instant now;
  for (const view_member& item : next.members) {
    hosts.push_back({.name = item.name,
                     .proposer = std::make_unique<view_proposer>(item.name, seed + hosts.size()),
                     .hand = std::make_unique<handover>(item.name, 1)});
    hosts.back().hand->Adopt(owner_index(view, replicas), replicas, now);
  }
  // The hosts took over their own replicas of epoch 4 long ago.
  now += std::chrono::minutes(1);
  const instant start = now;
  for (region_host& host : hosts) {
    host.proposer->OnView(view, now);
    host.proposer->SetWantedMembers(next.members, {}, now);
  }
  bool committed = false;
  constexpr auto kCall = std::chrono::milliseconds(2);
  for (; !committed; now += std::chrono::milliseconds(1)) {
    for (std::size_t i = static_cast<std::size_t>(dead_proposers); i < hosts.size() && !committed;
         ++i) {
      for (const proposer_action& action : hosts[i].proposer->Advance(now)) {
        now += kCall;
        if (action.kind == proposer_action::action_kind::read_view) {
          hosts[i].proposer->OnRead(view, 4, now);
        } else if (action.kind == proposer_action::action_kind::close_epoch) {
          for (std::size_t k = static_cast<std::size_t>(dead_proposers); k < hosts.size(); ++k) {
            hosts[i].proposer->OnEpochClosed(hosts[k].name, action.epoch);
          }
        } else {
          hosts[i].proposer->OnCommit(view_proposer::commit_outcome::committed, now);
          committed = true;
        }
      }
    }
  }
  const owner_index before(view, replicas);
  const owner_index after(next, replicas);
  for (region_host& host : hosts) {
    host.hand->Adopt(after, replicas, now);
  }
  const auto all_usable = [&] {
    return std::all_of(replicas.begin(), replicas.end(), [&](const replica_location& replica) {
      const std::string owner = after.Find(replica.address)->name;
      const auto host = std::find_if(hosts.begin(), hosts.end(),
                                     [&owner](const region_host& h) { return h.name == owner; });
      return host->hand->IsReady(replica.address, now);
    });
  };
  while (!all_usable()) {
    now += std::chrono::milliseconds(1);
  }
  return static_cast<double>((now - start).count()) / 1e6;
}

std::vector<measure> RunTakeover(unsigned seed) {
  // The platform's list shows a dead host after 30 s or more; the baseline is that lag alone.
  constexpr double kListLag = 30.0;
  return {{.name = "takeover_15_hosts", .baseline = kListLag, .result = Seconds(seed, 0)},
          {.name = "takeover_15_hosts_first_proposers_dead",
           .baseline = kListLag,
           .result = Seconds(seed, 2)}};
}

const bench_registration kRegistration{{.name = "takeover", .run = RunTakeover}};

}  // namespace

}  // namespace limpetlever
