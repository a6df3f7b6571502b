#include <algorithm>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "limits/crash_guard.h"
#include "registry.h"

namespace limpetlever {

namespace {

struct crash_outcome {
  /** Requests that crash each server that runs them. */
  int crashing = 0;
  /** Of these, the requests that crashed a third server. */
  int reached_third = 0;
  /** Requests that crash no server. */
  int innocent = 0;
  /** Number of times that such a request was blocked. */
  int innocent_blocked = 0;
};

/**
 * Fifteen hosts own a hundred servers. One request in 500 crashes each server that runs it. Every
 * request that a crash leaves without an answer is sent again within 5 s, up to five times in all.
 * Changes of crash marks are pushed and reach the other hosts within 50 ms. Without `has_guard`
 * nothing is blocked.
 */
crash_outcome RunCrashes(bool has_guard, unsigned seed) {
  constexpr int kHosts = 15;
  constexpr int kServers = 100;
  constexpr int kTicks = 20'000;
  constexpr int kMaxSends = 5;
  constexpr duration kTick = std::chrono::milliseconds(10);
  constexpr std::uint64_t kMaxDelayTicks = 5;
  constexpr std::uint64_t kMaxResendDelayTicks = 500;
  struct request {
    std::uint64_t fingerprint = 0;
    bool is_crashing = false;
    int sends = 0;
    /** Tick of the next send. */
    int due = 0;
    /** Servers that the request has crashed. */
    std::vector<int> crashed_servers{};
  };
  struct pending_message {
    /** Tick of its arrival. */
    int due = 0;
    int host = 0;
    crash_report report;
  };
  random_source random(seed);
  constexpr std::size_t kCapacity = 10'000;
  std::vector<crash_guard> guards(kHosts, crash_guard(kCapacity));
  std::vector<request> waiting;
  std::vector<pending_message> messages;
  crash_outcome outcome;
  const auto broadcast = [&](int tick, int from, const crash_report& report) {
    for (int host = 0; host < kHosts; ++host) {
      if (host != from) {
        messages.push_back(
            {tick + 1 + static_cast<int>(random.Below(kMaxDelayTicks)), host, report});
      }
    }
  };
  for (int tick = 0; tick < kTicks; ++tick) {
    const wall_time now(kTick * tick);
    std::erase_if(messages, [&](const pending_message& item) {
      if (item.due <= tick) {
        guards[item.host].Merge(item.report, now);
      }
      return item.due <= tick;
    });
    for (int i = 0; i < 4; ++i) {
      constexpr std::uint64_t kRequestsPerCrashing = 500;
      const bool is_crashing = random.Below(kRequestsPerCrashing) == 0;
      waiting.push_back({.fingerprint = random.Next(), .is_crashing = is_crashing});
      ++(is_crashing ? outcome.crashing : outcome.innocent);
    }
    // Each request that is due in this tick runs on a random server. More than two on one server,
    // the slots that it is meant to have, are rare at this load and not prevented.
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
      bool crashes = false;
      std::vector<std::uint64_t> fingerprints;
      for (const request& item : running[server]) {
        crashes = crashes || item.is_crashing;
        fingerprints.push_back(item.fingerprint);
      }
      crash_guard& guard = guards[server % kHosts];
      if (!crashes) {
        for (const std::uint64_t fingerprint : fingerprints) {
          if (const auto report = guard.OnCompleted(fingerprint, now)) {
            broadcast(tick, server % kHosts, *report);
          }
        }
        continue;
      }
      for (const crash_report& report :
           guard.OnServerCrash(std::to_string(server), fingerprints, now)) {
        broadcast(tick, server % kHosts, report);
      }
      for (request& item : running[server]) {
        if (item.is_crashing && std::find(item.crashed_servers.begin(), item.crashed_servers.end(),
                                          server) == item.crashed_servers.end()) {
          item.crashed_servers.push_back(server);
          outcome.reached_third += item.crashed_servers.size() == 3 ? 1 : 0;
        }
        if (item.sends < kMaxSends) {
          item.due = tick + 1 + static_cast<int>(random.Below(kMaxResendDelayTicks));
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
  crash_outcome result;
  for (unsigned i = 0; i < kSeeds; ++i) {
    for (const bool has_guard : {false, true}) {
      const crash_outcome single = RunCrashes(has_guard, seed * kSeeds + i);
      crash_outcome& sum = has_guard ? result : baseline;
      sum.crashing += single.crashing;
      sum.reached_third += single.reached_third;
      sum.innocent += single.innocent;
      sum.innocent_blocked += single.innocent_blocked;
    }
  }
  const auto share = [](int part, int total) { return static_cast<double>(part) / total; };
  return {{"crash_third_server_share", share(baseline.reached_third, baseline.crashing),
           share(result.reached_third, result.crashing)},
          {"crash_innocent_blocked_share", share(baseline.innocent_blocked, baseline.innocent),
           share(result.innocent_blocked, result.innocent)}};
}

const bench_registration kRegistration{{"crash_rates", CrashRates}};

}  // namespace

}  // namespace limpetlever
