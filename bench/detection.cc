// Time until all of 15 hosts have detected the crash of one, and the number of live hosts declared
// dead, both at 5% message loss.
#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "membership/member_tracker.h"
#include "registry.h"

namespace limpetlever {

namespace {

constexpr int kHosts = 15;
constexpr double kMessageLoss = 0.05;
// A direct or indirect probe without an answer within 200 ms has failed.
constexpr auto kProbeTimeout = std::chrono::milliseconds(200);

class detection_run {
 public:
  /** Without `with_updates`, the baseline, each host uses only the results of its own probes. */
  detection_run(bool with_updates, std::uint64_t seed)
      : with_updates_(with_updates), random_(seed) {
    std::vector<member> list;
    for (int i = 0; i < kHosts; ++i) {
      list.push_back({.name = "h" + std::to_string(i),
                      .data_centre = "dc" + std::to_string(i % 4),
                      .http_address = "127.0.0.1:" + std::to_string(8000 + i),
                      .peer_address = "127.0.0.1:" + std::to_string(9000 + i),
                      .incarnation = 1});
    }
    for (const member& host : list) {
      trackers_[host.name] = std::make_unique<member_tracker>(host, random_.Next(), now_);
      trackers_[host.name]->SetRegisteredHosts(list);
    }
  }

  /**
   * Runs without a crash for `time`. Returns the number of false deaths: a live host that is
   * declared dead counts once for each host that declares it so.
   */
  int CountFalseDeaths(duration time) {
    int false_deaths = 0;
    std::map<std::pair<std::string, std::string>, bool> dead;
    for (const instant end = now_ + time; now_ < end;) {
      Step();
      for (const auto& [name, tracker] : trackers_) {
        for (const member& host : tracker->Members()) {
          bool& was_dead = dead[{name, host.name}];
          const bool is_dead = host.state == member_state::dead;
          false_deaths += is_dead && !was_dead ? 1 : 0;
          was_dead = is_dead;
        }
      }
    }
    return false_deaths;
  }

  /** Crashes a host. Returns the seconds until all others have declared it dead, at most 120. */
  double SecondsToDetect(const std::string& crashed_host) {
    crashed_host_ = crashed_host;
    const instant start = now_;
    const auto has_detected = [this](const auto& item) {
      const auto host = item.second->Find(crashed_host_);
      return item.first == crashed_host_ || (host && host->state == member_state::dead);
    };
    while (!std::all_of(trackers_.begin(), trackers_.end(), has_detected) &&
           now_ < start + std::chrono::minutes(2)) {
      Step();
    }
    return static_cast<double>((now_ - start).count()) / 1e6;
  }

 private:
  void Step() {
    now_ += std::chrono::milliseconds(10);
    while (!results_.empty() && results_.begin()->first <= now_) {
      const auto item = results_.extract(results_.begin());
      trackers_[item.mapped().host]->OnProbeResult(item.mapped().id, item.mapped().ok, now_);
    }
    for (auto& [name, tracker] : trackers_) {
      if (name == crashed_host_) {
        continue;
      }
      for (const probe_action& action : tracker->Advance(now_)) {
        const bool ok = action.relay.empty()
                            ? Probe(name, action.target, action.updates)
                            : Probe(name, action.relay, action.updates) &&
                                  Probe(action.relay, action.target, action.updates);
        results_.emplace(ok ? now_ : now_ + kProbeTimeout, probe_result{name, action.id, ok});
      }
    }
  }
  bool IsLost(const std::string& to) {
    return to == crashed_host_ || random_.Unit() < kMessageLoss;
  }
  /**
   * Sends a probe with `updates` and the answer with those of the target; false if one of the two
   * messages is lost.
   */
  bool Probe(const std::string& from,
             const std::string& to,
             const std::vector<gossip_entry>& updates) {
    if (IsLost(to)) {
      return false;
    }
    ApplyUpdates(to, updates);
    const auto answer = trackers_[to]->CollectUpdates(from);
    if (IsLost(from)) {
      return false;
    }
    ApplyUpdates(from, answer);
    return true;
  }
  void ApplyUpdates(const std::string& host, const std::vector<gossip_entry>& updates) {
    if (with_updates_) {
      for (const gossip_entry& entry : updates) {
        trackers_[host]->MergeEntry(entry, now_);
      }
    }
  }

  struct probe_result {
    std::string host;
    std::uint64_t id;
    bool ok;
  };
  bool with_updates_;
  random_source random_;
  instant now_{std::chrono::seconds(1)};
  std::string crashed_host_;
  std::multimap<instant, probe_result> results_;
  std::map<std::string, std::unique_ptr<member_tracker>> trackers_;
};

std::vector<measure> RunDetection(unsigned seed) {
  std::vector<measure> measures{{.name = "detection_15_hosts_worst_of_40"},
                                {.name = "false_deaths_15_hosts_10_min"}};
  for (const bool with_updates : {false, true}) {
    double worst = 0.0;
    for (unsigned i = 0; i < 40; ++i) {
      detection_run run(with_updates, seed * 1000 + i);
      run.CountFalseDeaths(std::chrono::seconds(15));
      worst = std::max(worst, run.SecondsToDetect("h" + std::to_string(i % kHosts)));
    }
    const double false_deaths =
        detection_run(with_updates, seed).CountFalseDeaths(std::chrono::minutes(10));
    (with_updates ? measures[0].result : measures[0].baseline) = worst;
    (with_updates ? measures[1].result : measures[1].baseline) = false_deaths;
  }
  return measures;
}

const bench_registration kRegistration{{.name = "detection", .run = RunDetection}};

}  // namespace

}  // namespace limpetlever
