#ifndef LIMPETLEVER_BENCH_FAN_OUT_SIMULATION_H_
#define LIMPETLEVER_BENCH_FAN_OUT_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random_source.h"
#include "base/time_types.h"
#include "routing/attempt_result.h"
#include "routing/fan_out_action.h"

namespace limpetlever {

/**
 * Backend servers and the queue of their owner in simulated time, for measures of decisions: one
 * coordinator, no network and no protocol.
 */
class fan_out_simulation {
 public:
  struct server {
    /** Attempts at a time; those beyond wait in order of arrival. */
    int limit = 2;
    /** Added to each answer, for the way to another data centre. */
    duration distance{};
    /** Every attempt fails after 1 ms and may have run. */
    bool failing = false;
    int started = 0;
    instant last_attempt;
    std::map<attempt_id, std::uint64_t> running;
    std::deque<attempt_request> waiting;
  };

  /** Service times vary around `median` by a factor of 1.5 at their 95th percentile. */
  fan_out_simulation(std::uint64_t seed, duration median, double straggler_share);

  instant now() const { return now_; }
  server& Server(const std::string& address) { return servers_[address]; }
  void At(instant time, std::function<void()> act) { events_.emplace(time, std::move(act)); }
  /** Instants of `count` queries that arrive independently, on average `apart`. */
  std::vector<instant> Arrivals(std::size_t count, duration apart);
  /** Until nothing is left to happen. */
  void Run();

  /** Starts `plan` now. `on_result` sees each result delivered before the end, then `on_done`. */
  template <typename Plan>
  void Start(std::uint64_t query,
             std::shared_ptr<Plan> plan,
             std::function<void(const attempt_result&)> on_result,
             std::function<void(const Plan&)> on_done) {
    const auto done = std::make_shared<bool>(false);
    const auto carry = std::make_shared<std::function<void(std::vector<fan_out_action>)>>();
    *carry = [this, query, plan, on_done, done,
              weak = std::weak_ptr(carry)](const std::vector<fan_out_action>& actions) {
      Execute(actions);
      if (plan->IsDone()) {
        if (!*done) {
          *done = true;
          on_done(*plan);
          At(now_, [this, query] { deliver_.erase(query); });
        }
        return;
      }
      const instant due = *plan->NextTimer();
      At(due, [plan, due, strong = weak.lock(), this] {
        if (!plan->IsDone() && *plan->NextTimer() <= due) {
          (*strong)(plan->OnTimer(now_));
        }
      });
    };
    deliver_[query] = [this, plan, carry, on_result](const attempt_result& result) {
      if (!plan->IsDone()) {
        if (on_result) {
          on_result(result);
        }
        (*carry)(plan->OnResult(result, now_));
      }
    };
    (*carry)(plan->Start(now_));
  }

 private:
  void Execute(const std::vector<fan_out_action>& actions);
  void Send(const attempt_request& attempt);
  void Cancel(const std::string& address, const attempt_id& id);
  void StartWaiting(const std::string& address);
  void Reply(attempt_result result, duration delay);
  duration ServiceTime();

  random_source random_;
  const duration median_;
  const double straggler_share_;
  instant now_{};
  std::uint64_t next_run_ = 0;
  std::unordered_map<std::string, server> servers_;
  std::multimap<instant, std::function<void()>> events_;
  std::unordered_map<std::uint64_t, std::function<void(const attempt_result&)>> deliver_;
};

/** The value below which `share` of `values` lie; 0 without values. */
double PercentileOf(std::vector<double> values, double share);

}  // namespace limpetlever

#endif  // LIMPETLEVER_BENCH_FAN_OUT_SIMULATION_H_
