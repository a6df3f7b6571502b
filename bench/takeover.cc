// Time from the instant when the members have declared an owner dead until its replicas are usable
// by their new owners.
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
  std::unique_ptr<handover> replica_handover;
};

/**
 * Host 0 crashes, and so do the first `crashed_proposers` of the hosts that would propose a view
 * without it. Each call takes 2 ms. Returns the seconds until the new owners of all replicas may
 * use them.
 */
double SecondsUntilUsable(unsigned seed, int crashed_proposers) {
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
  for (const view_member& survivor : next.members) {
    hosts.push_back(
        {.name = survivor.name,
         .proposer = std::make_unique<view_proposer>(survivor.name, seed + hosts.size()),
         .replica_handover = std::make_unique<handover>(survivor.name, 1)});
    hosts.back().replica_handover->Adopt(owner_index(view, replicas), replicas, now);
  }
  // Long enough for the hosts to have taken over their replicas of epoch 4.
  now += std::chrono::minutes(1);
  const instant start = now;
  for (region_host& host : hosts) {
    host.proposer->OnView(view, now);
    host.proposer->SetWantedMembers(next.members, {}, now);
  }
  bool committed = false;
  constexpr auto kCallTime = std::chrono::milliseconds(2);
  for (; !committed; now += std::chrono::milliseconds(1)) {
    for (std::size_t i = static_cast<std::size_t>(crashed_proposers);
         i < hosts.size() && !committed; ++i) {
      for (const proposer_action& action : hosts[i].proposer->Advance(now)) {
        now += kCallTime;
        if (action.kind == proposer_action::action_kind::read_view) {
          hosts[i].proposer->OnRead(view, 4, now);
        } else if (action.kind == proposer_action::action_kind::close_epoch) {
          for (std::size_t k = static_cast<std::size_t>(crashed_proposers); k < hosts.size(); ++k) {
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
    host.replica_handover->Adopt(after, replicas, now);
  }
  const auto all_usable = [&] {
    return std::all_of(replicas.begin(), replicas.end(), [&](const replica_location& replica) {
      const std::string owner = after.Find(replica.address)->name;
      const auto host =
          std::find_if(hosts.begin(), hosts.end(),
                       [&owner](const region_host& entry) { return entry.name == owner; });
      return host->replica_handover->IsReady(replica.address, now);
    });
  };
  while (!all_usable()) {
    now += std::chrono::milliseconds(1);
  }
  return static_cast<double>((now - start).count()) / 1e6;
}

std::vector<measure> RunTakeover(unsigned seed) {
  // Without views, an owner is replaced when the platform's list of hosts no longer has it, after
  // 30 s or more. The baseline is that lag alone.
  constexpr double kHostListDelayS = 30.0;
  return {{.name = "takeover_15_hosts",
           .baseline = kHostListDelayS,
           .result = SecondsUntilUsable(seed, 0)},
          {.name = "takeover_15_hosts_first_proposers_dead",
           .baseline = kHostListDelayS,
           .result = SecondsUntilUsable(seed, 2)}};
}

const bench_registration kRegistration{{.name = "takeover", .run = RunTakeover}};

}  // namespace

}  // namespace limpetlever
