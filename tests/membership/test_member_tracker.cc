#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "membership/member_entry.h"
#include "membership/member_tracker.h"

using namespace limpetlever;
using namespace std::chrono_literals;

namespace {

member MakeHost(int i, std::int64_t incarnation = 1) {
  const std::string number = std::to_string(i);
  return {.name = "h" + number,
          .region = "r",
          .data_centre = "dc" + std::to_string(i % 3),
          .http_address = "127.0.0.1:" + std::to_string(8000 + i),
          .peer_address = "127.0.0.1:" + std::to_string(9000 + i),
          .incarnation = incarnation};
}

/**
 * Simulates hosts that probe each other, in steps of 10 ms. A probe or its answer is lost with the
 * given probability, when the receiver is stopped, or when the direction is cut.
 */
class cluster {
 public:
  cluster(int hosts, double loss) : loss_(loss), random_(7) {
    for (int i = 0; i < hosts; ++i) {
      list_.push_back(MakeHost(i));
    }
    for (int i = 0; i < hosts; ++i) {
      Start(i, 1);
    }
  }
  void Start(int i, std::int64_t incarnation) {
    trackers_["h" + std::to_string(i)] = std::make_unique<member_tracker>(
        MakeHost(i, incarnation), static_cast<std::uint64_t>(100 * incarnation + i), now);
    trackers_["h" + std::to_string(i)]->SetRegisteredHosts(list_);
  }
  void Run(duration time) {
    for (const instant end = now + time; now < end; now += 10ms) {
      for (auto& [name, tracker] : trackers_) {
        if (stopped.contains(name)) {
          continue;
        }
        for (const probe_action& action : tracker->Advance(now)) {
          const bool ok = action.relay.empty()
                              ? Deliver(name, action.target, action.updates)
                              : Deliver(name, action.relay, action.updates) &&
                                    Deliver(action.relay, action.target, action.updates);
          tracker->OnProbeResult(action.id, ok, now);
        }
      }
    }
  }
  int CountInState(const std::string& name, member_state state) const {
    int count = 0;
    for (const auto& [other, tracker] : trackers_) {
      const auto known = tracker->Find(name);
      count += other != name && !stopped.contains(other) && known && known->state == state ? 1 : 0;
    }
    return count;
  }
  member_tracker& Tracker(int i) { return *trackers_.at("h" + std::to_string(i)); }

  instant now{1000s};
  std::set<std::string> stopped;
  std::set<std::pair<std::string, std::string>> cut_links;

 private:
  bool IsLost(const std::string& from, const std::string& to) {
    return stopped.contains(to) || cut_links.contains({from, to}) || random_.Unit() < loss_;
  }
  bool Deliver(const std::string& from,
               const std::string& to,
               const std::vector<gossip_entry>& updates) {
    if (IsLost(from, to)) {
      return false;
    }
    for (const gossip_entry& entry : updates) {
      trackers_.at(to)->MergeEntry(entry, now);
    }
    const auto answer = trackers_.at(to)->CollectUpdates(from);
    if (IsLost(to, from)) {
      return false;
    }
    for (const gossip_entry& entry : answer) {
      trackers_.at(from)->MergeEntry(entry, now);
    }
    return true;
  }
  double loss_;
  random_source random_;
  std::vector<member> list_;
  std::map<std::string, std::unique_ptr<member_tracker>> trackers_;
};

}  // namespace

// Guards against a listed host that never ran being used as a member, and against an observed host
// being ignored because the list does not contain it.
Test(member_tracker, the_list_only_supplies_hosts_to_probe) {
  member_tracker tracker(MakeHost(0), 1, instant(1s));
  tracker.SetRegisteredHosts({MakeHost(0), MakeHost(1)});
  cr_assert(!tracker.Find("h1"));
  cr_assert(tracker.MergeEntry(ToGossipEntry(MakeHost(2), 0), instant(1s)));
  tracker.SetRegisteredHosts({MakeHost(0), MakeHost(1)});
  cr_assert(tracker.Find("h2")->state == member_state::alive);
}

// Guards against a crashed host that is still regarded as alive, and against a live host declared
// dead because of loss in one direction.
Test(member_tracker, crashed_host_is_found_despite_one_way_loss) {
  cluster hosts(9, 0.0);
  hosts.Run(10s);
  cr_assert(hosts.CountInState("h1", member_state::alive) == 8);
  hosts.cut_links = {{"h0", "h1"}, {"h2", "h1"}, {"h1", "h3"}};
  hosts.stopped.insert("h4");
  hosts.Run(12s);
  cr_assert(hosts.CountInState("h4", member_state::dead) == 8);
  cr_assert(hosts.CountInState("h1", member_state::dead) == 0);
}

// Guards against a paused host staying dead after it resumed, and against it declaring the others
// dead because it saw no answers during its pause.
Test(member_tracker, paused_host_resumes) {
  cluster hosts(9, 0.0);
  hosts.Run(10s);
  hosts.stopped.insert("h4");
  hosts.Run(15s);
  hosts.stopped.clear();
  hosts.Run(10s);
  cr_assert(hosts.CountInState("h4", member_state::alive) == 8);
  for (const member& host : hosts.Tracker(4).Members()) {
    cr_assert(host.state == member_state::alive, "%s", host.name.c_str());
  }
}

// Guards against a host that restarts twice within the suspicion time being regarded as dead, or as
// its former process.
Test(member_tracker, double_restart_ends_with_the_newest_incarnation) {
  cluster hosts(9, 0.05);
  hosts.Run(10s);
  hosts.Start(4, 2);
  hosts.Run(1s);
  hosts.Start(4, 3);
  hosts.Run(10s);
  for (int i = 0; i < 9; ++i) {
    cr_assert(hosts.Tracker(i).Find("h4")->incarnation == 3);
  }
}

// Guards against an old state of a replaced process being applied to its successor, which has the
// same name or the same address.
Test(member_tracker, replaced_host) {
  const instant now(1s);
  member_tracker tracker(MakeHost(0), 1, now);
  tracker.MergeEntry(ToGossipEntry(MakeHost(1, 5), 0), now);
  member old_process = MakeHost(1, 4);
  old_process.state = member_state::dead;
  cr_assert(!tracker.MergeEntry(ToGossipEntry(old_process, 9), now));
  member successor = MakeHost(1, 6);
  successor.name = "h9";
  tracker.MergeEntry(ToGossipEntry(successor, 0), now);
  cr_assert(tracker.Find("h1")->state == member_state::dead);
  cr_assert(tracker.Find("h9")->state == member_state::alive);
}

// Guards against a leaving host being shown as suspect, or as alive again after an older update.
Test(member_tracker, leaving_host_stays_leaving) {
  cluster hosts(9, 0.05);
  hosts.Run(10s);
  hosts.Tracker(4).Leave(hosts.now);
  hosts.Run(8s);
  cr_assert(hosts.CountInState("h4", member_state::leaving) == 8);
  hosts.stopped.insert("h4");
  hosts.Run(15s);
  cr_assert(hosts.CountInState("h4", member_state::dead) == 8);
}

// Guards against the hosts of a data centre remaining dead after a network partition has healed,
// and against either side regarding the other as alive during the partition.
Test(member_tracker, data_centre_partition_heals) {
  cluster hosts(9, 0.0);
  hosts.Run(10s);
  for (int a = 0; a < 9; ++a) {
    for (int b = 0; b < 9; ++b) {
      if ((a % 3 == 0) != (b % 3 == 0)) {
        hosts.cut_links.insert({"h" + std::to_string(a), "h" + std::to_string(b)});
      }
    }
  }
  hosts.Run(20s);
  cr_assert(hosts.CountInState("h0", member_state::dead) == 6);
  cr_assert(hosts.CountInState("h0", member_state::alive) == 2);
  hosts.cut_links.clear();
  hosts.Run(60s);
  cr_assert(hosts.CountInState("h0", member_state::alive) == 8);
}

// Guards against wrong states after a rack fails while another host restarts, twice and at 5% loss:
// a crashed host seen as alive or a live one as dead.
Test(member_tracker, rack_fails_twice_with_loss_and_restart) {
  cluster hosts(12, 0.05);
  hosts.Run(10s);
  for (int round = 0; round < 2; ++round) {
    hosts.stopped = {"h0", "h1", "h2", "h3"};
    hosts.Start(5, 2 + round);
    hosts.Run(20s);
    for (int i = 0; i < 4; ++i) {
      cr_assert(hosts.CountInState("h" + std::to_string(i), member_state::dead) == 8);
    }
    cr_assert(hosts.CountInState("h5", member_state::alive) == 7);
    hosts.stopped.clear();
    hosts.Run(60s);
    cr_assert(hosts.CountInState("h0", member_state::alive) == 11);
  }
}

// Guards against a host that is cut off but still runs being assumed to have left: the other side
// of the partition might then commit a view without it.
Test(member_tracker, only_a_host_missing_from_the_list_has_left) {
  cluster hosts(5, 0.0);
  hosts.Run(10s);
  hosts.stopped.insert("h4");
  hosts.Run(80s);
  cr_assert(hosts.CountInState("h4", member_state::dead) == 4 &&
            !hosts.Tracker(0).HasLeftFleet("h4", hosts.now));
  hosts.Tracker(0).SetRegisteredHosts({MakeHost(0), MakeHost(1), MakeHost(2)});
  cr_assert(hosts.Tracker(0).HasLeftFleet("h4", hosts.now));
  cr_assert(!hosts.Tracker(0).HasLeftFleet("h3", hosts.now));
  cr_assert(!member_tracker(MakeHost(0), 1, hosts.now).HasLeftFleet("h4", hosts.now));
}
