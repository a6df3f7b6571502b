#include <algorithm>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "limits/crash_guard.h"
#include "registry.h"

namespace limpetlever {

namespace {

struct crash_outcome {
  int crashing = 0;
  int reached_third = 0;
  int innocent = 0;
  int innocent_blocked = 0;
};

/**
 * Fifteen hosts own a hundred servers with two slots. One request in 500 crashes each server that
 * runs it; whoever gets no answer sends the request again within 5 s, up to five times in all.
 * Notes are pushed and reach the other hosts within 50 ms. Without `has_guard` nothing is blocked.
 */
crash_outcome RunCrashes(bool has_guard, unsigned seed) {
  constexpr int kHosts = 15;
  constexpr int kServers = 100;
  constexpr int kTicks = 20'000;
  constexpr int kMaxSends = 5;
  constexpr duration kTick = std::chrono::milliseconds(10);
  constexpr std::uint64_t kMaxDelay = 5;
  constexpr std::uint64_t kMaxResendDelay = 500;
  struct request {
    std::uint64_t fingerprint = 0;
    bool is_crashing = false;
    int sends = 0;
    int due = 0;
    std::vector<int> crashed{};
  };
  struct pending {
    int due = 0;
    int host = 0;
    crash_report report;
  };
  random_source random(seed);
  constexpr std::size_t kCapacity = 10'000;
  std::vector<crash_guard> guards(kHosts, crash_guard(kCapacity));
  std::vector<request> waiting;
  std::vector<pending> reports;
  crash_outcome outcome;
  const auto spread = [&](int tick, int from, const crash_report& report) {
    for (int host = 0; host < kHosts; ++host) {
      if (host != from) {
        reports.push_back({tick + 1 + static_cast<int>(random.Below(kMaxDelay)), host, report});
      }
    }
  };
  for (int tick = 0; tick < kTicks; ++tick) {
    const wall_time now(kTick * tick);
    std::erase_if(reports, [&](const pending& item) {
      if (item.due <= tick) {
        guards[item.host].Merge(item.report, now);
      }
      return item.due <= tick;
    });
    for (int i = 0; i < 4; ++i) {
      constexpr std::uint64_t kCrashingEvery = 500;
      const bool is_crashing = random.Below(kCrashingEvery) == 0;
      waiting.push_back({.fingerprint = random.Next(), .is_crashing = is_crashing});
      ++(is_crashing ? outcome.crashing : outcome.innocent);
    }
    // Each request of this tick runs on a random server, at most two on one.
    std::vector<std::vector<request>> running(kServers);
    std::vector<request> later;
    for (request& item : waiting) {
      if (item.due > tick) {
        later.push_back(std::move(item));
        continue;
      }
      const int server = static_cast<int>(random.Below(kServers));
      if (has_guard && guards[server % kHosts].IsBlocked(item.fingerprint, now)) {
        outcome.innocent_blocked += item.is_crashing ? 0 : 1;
        continue;
      }
      ++item.sends;
      running[server].push_back(item);
    }
    waiting = std::move(later);
    for (int server = 0; server < kServers; ++server) {
      bool dies = false;
      std::vector<std::uint64_t> fingerprints;
      for (const request& item : running[server]) {
        dies = dies || item.is_crashing;
        fingerprints.push_back(item.fingerprint);
      }
      crash_guard& guard = guards[server % kHosts];
      if (!dies) {
        for (const std::uint64_t fingerprint : fingerprints) {
          if (const auto report = guard.OnCompleted(fingerprint, now)) {
            spread(tick, server % kHosts, *report);
          }
        }
        continue;
      }
      for (const crash_report& report :
           guard.OnServerCrash(std::to_string(server), fingerprints, now)) {
        spread(tick, server % kHosts, report);
      }
      for (request& item : running[server]) {
        if (item.is_crashing &&
            std::find(item.crashed.begin(), item.crashed.end(), server) == item.crashed.end()) {
          item.crashed.push_back(server);
          outcome.reached_third += item.crashed.size() == 3 ? 1 : 0;
        }
        if (item.sends < kMaxSends) {
          item.due = tick + 1 + static_cast<int>(random.Below(kMaxResendDelay));
          waiting.push_back(item);
        }
      }
    }
  }
  return outcome;
}

std::vector<measure> CrashRates(unsigned seed) {
  constexpr unsigned kSeeds = 20;
  crash_outcome baseline;
  crash_outcome found;
  for (unsigned i = 0; i < kSeeds; ++i) {
    for (const bool has_guard : {false, true}) {
      const crash_outcome one = RunCrashes(has_guard, seed * kSeeds + i);
      crash_outcome& sum = has_guard ? found : baseline;
      sum.crashing += one.crashing;
      sum.reached_third += one.reached_third;
      sum.innocent += one.innocent;
      sum.innocent_blocked += one.innocent_blocked;
    }
  }
  const auto share = [](int part, int whole) { return static_cast<double>(part) / whole; };
  return {{"crash_third_server_share", share(baseline.reached_third, baseline.crashing),
           share(found.reached_third, found.crashing)},
          {"crash_innocent_blocked_share", share(baseline.innocent_blocked, baseline.innocent),
           share(found.innocent_blocked, found.innocent)}};
}

const bench_registration kCrash{{"crash_rates", CrashRates}};

}  // namespace

}  // namespace limpetlever
