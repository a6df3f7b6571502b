#include <algorithm>
#include <string>

#include "base/errc.h"
#include "limits/owned_replica.h"
#include "registry.h"
#include "simulated_backend.h"

namespace limpetlever {

namespace {

struct cold_start_outcome {
  /** Requests that were sent while the server was at its capacity. */
  int excess_requests = 0;
  /** Time from the restart until the owner's limit is that of the table, in warm-ups. */
  double time_to_full = 0.0;
};

/** What the owner knows of the latency of the server when it starts. */
enum class owner_knowledge {
  /** The owner knows the latency of the warm server; the server then restarts. */
  warm_latency,
  /** The owner and the server start together, and no other replica of the service is known. */
  none,
};

/**
 * A server starts under full load; if its owner knows its latency, the server was warm before and
 * restarts. Without `has_limiter` the owner starts as many attempts as the table allows, and the
 * time to the full limit is that of a fixed ramp of 60 s, twice the longest warm-up here: the safe
 * choice of an owner that measures nothing.
 */
cold_start_outcome RunColdStart(const simulated_backend::traits& server_traits,
                                owner_knowledge knowledge,
                                bool has_limiter,
                                unsigned seed) {
  constexpr duration kWarmRunTime = std::chrono::seconds(15);
  simulated_backend::traits traits = server_traits;
  simulated_backend server(traits, seed);
  owned_replica owner("server", traits.slots);
  const bool is_latency_known = knowledge == owner_knowledge::warm_latency;
  if (is_latency_known) {
    owner.SuggestReferenceLatency(traits.service_time);
  }
  owner.OnInstanceId("first", {});
  std::uint64_t last_id = 0;
  int unlimited_in_flight = 0;
  // If the latency is known, the run starts when the server has warmed up.
  instant now = is_latency_known ? instant(traits.warm_up) : instant{};
  const instant restart = is_latency_known ? now + kWarmRunTime : now;
  const instant end = restart + 2 * traits.warm_up;
  bool is_restarted = !is_latency_known;
  int excess_before = 0;
  cold_start_outcome outcome;
  const auto start = [&](const replica_decision& decision) {
    for (const attempt_request& attempt : decision.start) {
      server.Start(attempt.id, now);
    }
  };
  const auto add_load = [&] {
    constexpr std::size_t kMinWaiting = 4;
    while (has_limiter && (owner.waiting() < kMinWaiting)) {
      start(owner.Offer({.id = {++last_id, 0, 0}, .time_limit = std::chrono::hours(1)}, now));
    }
    while (!has_limiter && unlimited_in_flight < traits.slots) {
      ++unlimited_in_flight;
      server.Start({++last_id, 0, 0}, now);
    }
  };
  add_load();
  while (now < end) {
    if (!is_restarted && server.NextAnswer() >= restart) {
      now = restart;
      is_restarted = true;
      excess_before = server.excess_requests();
      // The owner detects the restart by its reset connections and the new instance id.
      owner.OnInstanceId("second", now);
      unlimited_in_flight = 0;
      for (const attempt_id& id : server.Restart(now)) {
        start(owner.OnFinished(id, MayHaveRun(errc::backend_error), {}, now));
      }
      add_load();
      continue;
    }
    now = server.NextAnswer();
    const simulated_backend::answer answer = server.TakeAnswer();
    --unlimited_in_flight;
    start(owner.OnFinished(answer.id, answer.outcome, answer.elapsed, now));
    add_load();
    if (is_restarted && owner.limit() == traits.slots && outcome.time_to_full == 0.0) {
      outcome.time_to_full = static_cast<double>((now - restart).count()) /
                             static_cast<double>(traits.warm_up.count());
    }
  }
  outcome.excess_requests = server.excess_requests() - excess_before;
  // Reported if the limit does not reach that of the table during the run.
  constexpr double kNeverFull = 99.0;
  outcome.time_to_full = outcome.time_to_full == 0.0 ? kNeverFull : outcome.time_to_full;
  if (!has_limiter) {
    constexpr duration kFixedRamp = std::chrono::seconds(60);
    outcome.time_to_full =
        static_cast<double>(kFixedRamp.count()) / static_cast<double>(traits.warm_up.count());
  }
  return outcome;
}

/**
 * Runs `count` servers, in turn one with few slots and one limited by its connections. Returns the
 * sum of the excess requests and the longest time to the full limit.
 */
cold_start_outcome RunServers(int count,
                              owner_knowledge knowledge,
                              bool has_limiter,
                              unsigned seed) {
  random_source random(seed);
  cold_start_outcome total;
  for (int i = 0; i < count; ++i) {
    simulated_backend::traits traits;
    const bool is_fan_out = i % 2 == 0;
    constexpr int kConnections = 75;
    traits.slots = is_fan_out ? 2 : kConnections;
    traits.service_time = std::chrono::milliseconds(is_fan_out ? 10 + random.Below(11) : 5);
    traits.warm_up = std::chrono::milliseconds(10'000 + random.Below(20'000));
    traits.cold_factor = 3.0 + 4.0 * random.Unit();
    const auto single =
        RunColdStart(traits, knowledge, has_limiter, static_cast<unsigned>(random.Next()));
    total.excess_requests += single.excess_requests;
    total.time_to_full = std::max(total.time_to_full, single.time_to_full);
  }
  return total;
}

std::vector<measure> MeasureServers(const std::string& name,
                                    int count,
                                    unsigned seed,
                                    owner_knowledge knowledge = owner_knowledge::warm_latency) {
  const cold_start_outcome baseline = RunServers(count, knowledge, false, seed);
  const cold_start_outcome result = RunServers(count, knowledge, true, seed);
  return {{name + "_above_limit", static_cast<double>(baseline.excess_requests),
           static_cast<double>(result.excess_requests)},
          {name + "_full_rate_ratio", baseline.time_to_full, result.time_to_full}};
}

// Half of a service of 20 replicas, and a data centre that holds the largest pair of services of
// the co-operative, one of the users in design section 1.
std::vector<measure> OneReplica(unsigned seed) {
  return MeasureServers("cold_one_replica", 1, seed);
}
std::vector<measure> RunHalfService(unsigned seed) {
  return MeasureServers("cold_half_service", 10, seed);
}
std::vector<measure> DataCentre(unsigned seed) {
  return MeasureServers("cold_data_centre", 50, seed);
}

std::vector<measure> UnknownLatency(unsigned seed) {
  return MeasureServers("cold_unknown_latency", 50, seed, owner_knowledge::none);
}

const bench_registration kOneReplica{{"cold_one_replica", OneReplica}};
const bench_registration kHalfService{{"cold_half_service", RunHalfService}};
const bench_registration kDataCentre{{"cold_data_centre", DataCentre}};
const bench_registration kUnknownLatency{{"cold_unknown_latency", UnknownLatency}};

}  // namespace

}  // namespace limpetlever
