#include <algorithm>
#include <deque>
#include <map>

#include "limits/owned_replica.h"
#include "registry.h"
#include "simulated_backend.h"

namespace limpetlever {

namespace {

/** An attempt is useful if it is answered within its time limit. */
struct overload_outcome {
  /** Useful attempts during the overload, divided by the server's capacity in that time. */
  double useful_during = 0.0;
  /**
   * Useful attempts among those that arrive after the overload, divided by the smaller of their
   * number and the server's capacity.
   */
  double useful_after = 0.0;
};

/**
 * Attempts arrive at three times the server's capacity for 30 s, then at its capacity. The second
 * share counts the attempts that arrive from 4 to 14 s after the overload. It is relative to the
 * attempts that did arrive if they are fewer than the capacity, since the number of arrivals in 1 s
 * varies by 4%, nearly as much as the bound in bounds.json allows. Without `has_admission_control`,
 * the baseline, attempts wait in a queue in order of arrival and none is refused.
 */
overload_outcome RunOverload(bool has_admission_control, unsigned seed) {
  const simulated_backend::traits traits{.slots = 2, .service_time = std::chrono::milliseconds(10)};
  constexpr duration kTimeLimit = std::chrono::milliseconds(170);
  constexpr duration kArrivalIntervalAtCapacity = std::chrono::milliseconds(5);
  constexpr duration kTimeBeforeOverload = std::chrono::seconds(2);
  const instant overload_start{kTimeBeforeOverload};
  const instant overload_end = overload_start + std::chrono::seconds(30);
  const instant recovery_start = overload_end + std::chrono::seconds(4);
  const instant recovery_end = overload_end + std::chrono::seconds(14);
  // Leaves time to answer the last arrivals of the window.
  const instant end = recovery_end + 2 * kTimeLimit;
  simulated_backend server(traits, seed);
  random_source random(seed);
  owned_replica owner("server", traits.slots);
  std::deque<attempt_id> waiting;
  std::map<attempt_id, instant> arrival_times;
  std::uint64_t last_id = 0;
  int useful_during = 0;
  int useful_after = 0;
  int arrived_after = 0;
  const auto is_after = [&](instant at) { return at >= recovery_start && at < recovery_end; };
  instant now{};
  instant next_arrival{};
  const auto start = [&](const replica_decision& decision) {
    for (const attempt_request& attempt : decision.start) {
      server.Start(attempt.id, now);
    }
  };
  const auto start_waiting = [&] {
    while (!waiting.empty() && server.running() < traits.slots) {
      server.Start(waiting.front(), now);
      waiting.pop_front();
    }
  };
  while (now < end) {
    if (next_arrival <= server.NextAnswer()) {
      now = next_arrival;
      const attempt_id id{++last_id, 0, 0};
      arrival_times[id] = now;
      arrived_after += is_after(now) ? 1 : 0;
      const bool is_overload = now >= overload_start && now < overload_end;
      // The interval is uniform between 0 and twice its mean.
      const auto mean = kArrivalIntervalAtCapacity.count() / (is_overload ? 3 : 1);
      next_arrival += duration(1 + static_cast<duration::rep>(random.Below(2 * mean)));
      if (has_admission_control) {
        constexpr std::uint64_t kAttemptsPerUrgent = 4;
        start(owner.Offer(
            {.id = id, .time_limit = kTimeLimit, .urgent = last_id % kAttemptsPerUrgent == 0},
            now));
      } else {
        waiting.push_back(id);
        start_waiting();
      }
      continue;
    }
    now = server.NextAnswer();
    const simulated_backend::answer answer = server.TakeAnswer();
    const bool is_useful =
        answer.outcome.state == run_state::ran && now - arrival_times[answer.id] <= kTimeLimit;
    useful_during += is_useful && now >= overload_start && now < overload_end ? 1 : 0;
    useful_after += is_useful && is_after(arrival_times[answer.id]) ? 1 : 0;
    arrival_times.erase(answer.id);
    if (has_admission_control) {
      start(owner.OnFinished(answer.id, answer.outcome, answer.elapsed, now));
    } else {
      start_waiting();
    }
  }
  const auto share = [&](int count, duration span) {
    return static_cast<double>(count) * static_cast<double>(kArrivalIntervalAtCapacity.count()) /
           static_cast<double>(span.count());
  };
  const double capacity_after =
      static_cast<double>((recovery_end - recovery_start) / kArrivalIntervalAtCapacity);
  return {
      .useful_during = share(useful_during, overload_end - overload_start),
      .useful_after = useful_after / std::min(static_cast<double>(arrived_after), capacity_after)};
}

std::vector<measure> Overload(unsigned seed) {
  const overload_outcome baseline = RunOverload(false, seed);
  const overload_outcome result = RunOverload(true, seed);
  return {{"overload_useful_share", baseline.useful_during, result.useful_during},
          {"overload_useful_share_after", baseline.useful_after, result.useful_after}};
}

const bench_registration kRegistration{{"overload", Overload}};

}  // namespace

}  // namespace limpetlever
