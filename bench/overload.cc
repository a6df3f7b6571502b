#include <algorithm>
#include <deque>
#include <map>

#include "limits/owned_replica.h"
#include "registry.h"
#include "simulated_backend.h"

namespace limpetlever {

namespace {

/** Shares of the useful attempts, those that are answered within their time limit. */
struct overload_outcome {
  /** Of the capacity during the overload. */
  double useful_during = 0.0;
  /** Of the attempts that arrive after the overload and that the capacity allows for. */
  double useful_after = 0.0;
};

/**
 * Attempts arrive at three times the capacity of a warm server for 30 s, then at its capacity. The
 * share after the overload is over the attempts that arrive from 4 to 14 s after it. It is relative
 * to the attempts that did arrive if they are fewer than the capacity, since the number of arrivals
 * in 1 s varies by 4%, nearly as much as the bound allows. Without `has_queue`, the baseline,
 * attempts wait in order of arrival and none is refused.
 */
overload_outcome RunOverload(bool has_queue, unsigned seed) {
  const simulated_backend::traits traits{.slots = 2, .service_time = std::chrono::milliseconds(10)};
  constexpr duration kTimeLimit = std::chrono::milliseconds(170);
  constexpr duration kArrivalIntervalAtCapacity = std::chrono::milliseconds(5);
  constexpr duration kWarmRunTime = std::chrono::seconds(2);
  const instant overload_at{kWarmRunTime};
  const instant overload_end = overload_at + std::chrono::seconds(30);
  const instant after_start = overload_end + std::chrono::seconds(4);
  const instant after_end = overload_end + std::chrono::seconds(14);
  // Leaves time to answer the last arrivals of the window.
  const instant end = after_end + 2 * kTimeLimit;
  simulated_backend server(traits, seed);
  random_source random(seed);
  owned_replica owner("server", traits.slots);
  std::deque<attempt_id> waiting;
  std::map<attempt_id, instant> arrivals;
  std::uint64_t last_id = 0;
  int useful_during = 0;
  int useful_after = 0;
  int arrived_after = 0;
  const auto is_after = [&](instant at) { return at >= after_start && at < after_end; };
  instant now{};
  instant arrival{};
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
    if (arrival <= server.NextAnswer()) {
      now = arrival;
      const attempt_id id{++last_id, 0, 0};
      arrivals[id] = now;
      arrived_after += is_after(now) ? 1 : 0;
      const bool is_overload = now >= overload_at && now < overload_end;
      // The gap is uniform between 0 and twice its mean.
      const auto mean = kArrivalIntervalAtCapacity.count() / (is_overload ? 3 : 1);
      arrival += duration(1 + static_cast<duration::rep>(random.Below(2 * mean)));
      if (has_queue) {
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
        answer.outcome.state == run_state::ran && now - arrivals[answer.id] <= kTimeLimit;
    useful_during += is_useful && now >= overload_at && now < overload_end ? 1 : 0;
    useful_after += is_useful && is_after(arrivals[answer.id]) ? 1 : 0;
    arrivals.erase(answer.id);
    if (has_queue) {
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
      static_cast<double>((after_end - after_start) / kArrivalIntervalAtCapacity);
  return {
      .useful_during = share(useful_during, overload_end - overload_at),
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
