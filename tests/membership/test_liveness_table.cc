#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random_source.h"
#include "membership/host_choice.h"
#include "membership/liveness_table.h"
#include "membership/member_entry.h"
#include "membership/member_tracker.h"
#include "membership/peer_message.h"

using namespace limpetlever;
using namespace std::chrono_literals;

namespace {

// A host that has ended must not be named to callers later than this after its end (stability time
// of the smallest deployment and 3 s).
constexpr duration kNamedBound = 7s;
constexpr duration kProbePeriod = 500ms;
// Datagrams, IP and UDP headers.
constexpr double kDatagramOverhead = 28;
constexpr double kMaxGossipBytesPerSecond = 11'000;

std::string NameOf(int i) {
  return "frontend-solothurn-a-" + std::to_string(i);
}

member MakeHost(int i) {
  const std::string ip = "10.1.100." + std::to_string(i % 250);
  return {.name = NameOf(i),
          .region = "ch-mittelland",
          .data_centre = "solothurn-a",
          .http_address = ip + ":8104",
          .peer_address = ip + ":7380",
          .incarnation = 1'796'680'000'000'000 + i,
          .processor_share = 170};
}

/**
 * Hosts that exchange liveness reports as their probes do: each one probes another host twice a
 * second, in an order that is drawn anew in each round. Both datagrams of a probe may be lost.
 */
class report_fleet {
 public:
  report_fleet(int hosts, int in_use, double loss) : loss_(loss), random_(11) {
    std::vector<std::string> used;
    for (int i = 0; i < in_use; ++i) {
      used.push_back(NameOf(i));
    }
    for (int i = 0; i < hosts; ++i) {
      hosts_.push_back({.table = liveness_table(NameOf(i)),
                        .next_probe = now + duration(static_cast<std::int64_t>(
                                                random_.Below(kProbePeriod.count())))});
      hosts_.back().table.SetHostsInUse(used);
    }
  }

  void Run(duration time) {
    for (const instant end = now + time; now < end; now += 10ms) {
      for (int i = 0; i < Count(); ++i) {
        if (!IsDown(i) && now >= hosts_[At(i)].next_probe) {
          hosts_[At(i)].next_probe += kProbePeriod;
          Probe(i, NextTarget(i));
        }
      }
    }
  }
  /** The host receives nothing for this time, and finds out at its end. */
  void Pause(int i, duration time) {
    paused.insert(i);
    Run(time);
    paused.erase(i);
    hosts_[At(i)].table.OnPause(time, now);
    hosts_[At(i)].next_probe = now;
  }
  bool IsLiveAt(int observer, int i) const {
    return hosts_[At(observer)].table.IsLive(NameOf(i), now);
  }
  int Count() const { return static_cast<int>(hosts_.size()); }

  instant now{1000s};
  std::set<int> ended;
  std::set<int> paused;
  /** Two groups of hosts between which nothing arrives; empty: all reach each other. */
  std::function<bool(int, int)> is_cut = [](int, int) { return false; };

 private:
  struct host {
    liveness_table table;
    instant next_probe;
    std::vector<int> round = {};
  };
  static std::size_t At(int i) { return static_cast<std::size_t>(i); }
  bool IsDown(int i) const { return ended.contains(i) || paused.contains(i); }
  int NextTarget(int i) {
    std::vector<int>& round = hosts_[At(i)].round;
    if (round.empty()) {
      for (int other = 0; other < Count(); ++other) {
        if (other != i) {
          round.push_back(other);
        }
      }
      for (std::size_t k = round.size(); k > 1; --k) {
        std::swap(round[k - 1], round[random_.Below(k)]);
      }
    }
    const int target = round.back();
    round.pop_back();
    return target;
  }
  bool Deliver(int from, int to) {
    if (IsDown(to) || is_cut(from, to) || random_.Unit() < loss_) {
      return false;
    }
    hosts_[At(to)].table.Merge(hosts_[At(from)].table.Report(now), now);
    return true;
  }
  void Probe(int from, int to) {
    if (Deliver(from, to)) {
      Deliver(to, from);
    }
  }

  double loss_;
  random_source random_;
  std::vector<host> hosts_;
};

/** Runs for `time`; returns how often a running host was not live at one of `observers`. */
int CountDrops(report_fleet& fleet, int in_use, const std::vector<int>& observers, duration time) {
  int drops = 0;
  for (const instant end = fleet.now + time; fleet.now < end;) {
    fleet.Run(200ms);
    for (const int observer : observers) {
      for (int i = 0; i < in_use; ++i) {
        drops += !fleet.ended.contains(i) && !fleet.IsLiveAt(observer, i) ? 1 : 0;
      }
    }
  }
  return drops;
}

}  // namespace

// Guards against a host that names ended hosts for longer the more hosts there were and the fewer
// are left: probes find one host each.
Test(liveness_table, ended_hosts_are_silent_in_time_after_any_loss) {
  constexpr int kHosts = 2500;
  constexpr int kInUse = 40;
  for (const int left : {1, 3, 25, 250, 1250, 2350}) {
    report_fleet fleet(kHosts, kInUse, 0.02);
    fleet.Run(5s);
    for (int i = 0; i < kHosts - left; ++i) {
      fleet.ended.insert(i);
    }
    fleet.Run(kNamedBound - 1s);
    for (int i = 0; i < kInUse; ++i) {
      cr_assert(!fleet.ended.contains(i) || !fleet.IsLiveAt(kHosts - 1, i),
                "%d of %d left, host %d", left, kHosts, i);
    }
  }
}

// Guards against running hosts that are taken for ended because reports about them are late.
Test(liveness_table, running_hosts_stay_live) {
  struct fleet_size {
    int hosts;
    int in_use;
  };
  for (const auto& [hosts, in_use] :
       {fleet_size{2, 2}, fleet_size{15, 15}, fleet_size{195, 42}, fleet_size{2500, 40}}) {
    report_fleet fleet(hosts, in_use, 0.02);
    fleet.Run(5s);
    std::vector<int> observers;
    for (int i = 0; i < hosts; i += std::max(1, hosts / 50)) {
      observers.push_back(i);
    }
    const int drops = CountDrops(fleet, in_use, observers, hosts > 1000 ? 10s : 60s);
    cr_assert(drops == 0, "%d hosts: %d", hosts, drops);
  }
}

// Guards against a host that has been paused and takes the others for ended because it has received
// nothing, and against one that keeps hosts which have ended during the pause.
Test(liveness_table, a_pause_of_the_host_ends_no_other) {
  report_fleet fleet(15, 15, 0.02);
  fleet.Run(10s);
  fleet.ended = {7};
  fleet.Pause(0, 8s);
  std::vector<int> observers{0};
  cr_assert(CountDrops(fleet, 15, observers, 4s) == 0);
  cr_assert(!fleet.IsLiveAt(0, 7));
  cr_assert(fleet.IsLiveAt(3, 0));
}

// Guards against hosts that stay silent for others after a cut between them has ended, and against
// a cut between two data centres that makes hosts silent which a third one reaches.
Test(liveness_table, hosts_are_live_again_after_a_cut) {
  report_fleet fleet(15, 15, 0.02);
  fleet.Run(10s);
  fleet.is_cut = [](int a, int b) { return std::set{a % 3, b % 3} == std::set{0, 1}; };
  std::vector<int> all;
  for (int i = 0; i < fleet.Count(); ++i) {
    all.push_back(i);
  }
  cr_assert(CountDrops(fleet, 15, all, 20s) == 0);
  fleet.is_cut = [](int a, int b) { return (a < 5) != (b < 5); };
  fleet.Run(10s);
  cr_assert(!fleet.IsLiveAt(0, 9) && fleet.IsLiveAt(0, 1));
  fleet.is_cut = [](int, int) { return false; };
  fleet.Run(3s);
  cr_assert(CountDrops(fleet, 15, all, 10s) == 0);
}

// Guards against gossip that costs a host more than it may at the size of the design target, when
// every message carries as many updates and reported hosts as it can.
Test(liveness_table, messages_stay_within_the_bytes_for_gossip) {
  constexpr int kHosts = 2500;
  member_tracker tracker(MakeHost(0), 1, instant(1s));
  liveness_table table(NameOf(0));
  std::vector<std::string> in_use;
  for (int i = 1; i < kHosts; ++i) {
    tracker.MergeEntry(ToGossipEntry(MakeHost(i), 0), instant(1s));
    table.Merge(liveness_table(NameOf(i)).Report(instant(1s)), instant(1s));
    in_use.push_back(NameOf(i));
  }
  table.SetHostsInUse(in_use);
  const peer_message message{.kind = peer_message::kind_type::ack,
                             .probe_id = std::uint64_t{1} << 40,
                             .position = {.era = 12, .revision = 1'000'000'000},
                             .updates = tracker.CollectUpdates(NameOf(1)),
                             .liveness_report = table.Report(instant(1s))};
  const double bytes = static_cast<double>(EncodePeerMessage(message).size()) + kDatagramOverhead;
  // Two probes of its own, two of others, and their acks.
  constexpr double kMessagesPerSecond = 8;
  cr_assert(kMessagesPerSecond * bytes <= kMaxGossipBytesPerSecond, "%.0f bytes a second",
            kMessagesPerSecond * bytes);
}

// Guards against the last host of many that sends more than it may while it finds all others ended:
// each failed probe is followed by probes through others and by further ones of the suspect.
Test(liveness_table, the_last_host_stays_within_the_bytes_for_gossip) {
  constexpr int kHosts = 2500;
  constexpr duration kRunTime = 20s;
  constexpr duration kPingTimeout = 300ms;
  instant now = instant(1s);
  member_tracker tracker(MakeHost(0), 1, now);
  liveness_table table(NameOf(0));
  std::vector<std::string> in_use;
  for (int i = 1; i < kHosts; ++i) {
    tracker.MergeEntry(ToGossipEntry(MakeHost(i), 0), now);
    table.Merge(liveness_table(NameOf(i)).Report(now), now);
    in_use.push_back(NameOf(i));
  }
  table.SetHostsInUse(in_use);
  double bytes = 0;
  std::multimap<instant, std::uint64_t> timeouts;
  for (const instant end = now + kRunTime; now < end; now += 10ms) {
    while (!timeouts.empty() && timeouts.begin()->first <= now) {
      const std::uint64_t probe = timeouts.extract(timeouts.begin()).mapped();
      tracker.OnProbeResult(probe, false, now);
    }
    for (const probe_action& action : tracker.Advance(now)) {
      const bool is_direct = action.relay.empty();
      peer_message message{
          .kind = is_direct ? peer_message::kind_type::ping : peer_message::kind_type::relay,
          .probe_id = action.id,
          .target = is_direct ? "" : tracker.Find(action.target)->peer_address,
          .position = {.era = 12, .revision = 1'000'000'000},
          .updates = action.updates};
      if (is_direct && tracker.Find(action.target)->state == member_state::alive) {
        message.liveness_report = table.Report(now);
      }
      bytes += static_cast<double>(EncodePeerMessage(message).size()) + kDatagramOverhead;
      timeouts.emplace(now + (is_direct ? kPingTimeout : 2 * kPingTimeout), action.id);
    }
  }
  const double per_second = bytes / std::chrono::duration<double>(kRunTime).count();
  cr_assert(per_second <= kMaxGossipBytesPerSecond, "%.0f bytes a second", per_second);
}

// Guards against a malformed report that ends the process or names hosts for ever.
Test(liveness_table, malformed_reports_are_ignored) {
  random_source random(5);
  liveness_table table("a");
  liveness_table other("b");
  const std::string valid = other.Report(instant(1s));
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = valid + valid + valid;
    bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    bytes.resize(random.Below(bytes.size() + 1));
    table.Merge(bytes, instant(1s));
  }
  table.Merge(std::string(1'000'000, 'A'), instant(1s));
  table.Merge(valid, instant(2s));
  cr_assert(table.IsLive("b", instant(2s) + liveness_table::kTimeout - 1ms));
  cr_assert(!table.IsLive("b", instant(2s) + liveness_table::kTimeout));
  cr_assert(table.IsLive("a", instant(100s)));
}

// Guards against hosts of an earlier version, which send no reports, that are taken for ended.
Test(liveness_table, a_message_without_a_report_is_a_sign_of_life) {
  liveness_table a("a");
  liveness_table b("b");
  a.OnMessage("c", instant(1s));
  b.Merge(a.Report(instant(2s)), instant(2s));
  cr_assert(a.IsLive("c", instant(5s)) && b.IsLive("c", instant(5s)));
  cr_assert(!a.IsLive("c", instant(6s)) && !b.IsLive("c", instant(6s)));
}

// Guards against reports in which the age of a sign of life gets lost on the way, so that hosts
// keep an ended one alive for each other.
Test(liveness_table, reports_pass_on_the_age) {
  liveness_table a("a");
  liveness_table b("b");
  liveness_table c("c");
  b.Merge(a.Report(instant(1s)), instant(1s));
  c.Merge(b.Report(instant(4s)), instant(4s));
  cr_assert(c.IsLive("a", instant(5s)));
  b.Merge(c.Report(instant(5s)), instant(5s));
  c.Merge(b.Report(instant(5s)), instant(5s));
  cr_assert(!c.IsLive("a", instant(6s)) && !b.IsLive("a", instant(6s)));
}

// Guards against a directory that names hosts which are known to be silent, and against one that
// names nobody, or only a few of many, when those that it would name first have ended.
Test(host_choice, silent_hosts_are_not_chosen) {
  std::vector<member> members;
  for (int i = 0; i < 30; ++i) {
    members.push_back({.name = NameOf(i), .data_centre = "d" + std::to_string(i % 3)});
  }
  const auto choose = [&members](const std::set<std::string>& live, std::size_t max_in_use) {
    return ChooseLiveHosts(
        members, [&live](const member& host) { return live.contains(host.name); }, "d0",
        max_in_use);
  };
  std::set<std::string> all;
  for (const member& host : members) {
    all.insert(host.name);
  }
  cr_assert(choose(all, 12) == ChooseHosts(members, "d0", 12));
  for (const member& host : ChooseHosts(members, "d0", 12)) {
    all.erase(host.name);
  }
  // Of its data centre, those that were not in use before are left.
  const auto replaced = choose(all, 12);
  cr_assert(replaced.size() == 4);
  for (const member& host : replaced) {
    cr_assert(all.contains(host.name) && host.data_centre == "d0");
  }
  const auto last = choose({NameOf(4)}, 12);
  cr_assert(last.size() == 1 && last[0].name == NameOf(4));
}
