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
 * Backend servers, each with the waiting queue of its owner, in simulated time, to measure the
 * decisions of one coordinator. There is no network and no protocol.
 */
class fan_out_simulation {
 public:
  struct server {
    /** Attempts that run at the same time; further ones wait in order of arrival. */
    int limit = 2;
    /** Added to the latency of each answer, for a server in another data centre. */
    duration extra_latency{};
    /** Every attempt fails after 1 ms with the verdict that it may have run. */
    bool failing = false;
    /** Number of attempts that were sent to this server. */
    int started = 0;
    instant last_attempt;
    /** Execution number by attempt; distinguishes a stale end of an execution from the current one.
     */
    std::map<attempt_id, std::uint64_t> running;
    std::deque<attempt_request> waiting;
  };

  /**
   * Service times are log-normal; their 95th percentile is about 1.5 times `median`. The share
   * `straggler_share` of the attempts takes 20 times `median` instead.
   */
  fan_out_simulation(std::uint64_t seed, duration median, double straggler_share);

  instant now() const { return now_; }
  /** The server at `address`, which is created on first use. */
  server& Server(const std::string& address) { return servers_[address]; }
  void Schedule(instant time, std::function<void()> callback) {
    events_.emplace(time, std::move(callback));
  }
  /** Draws `count` arrival times of a Poisson process, in ascending order. */
  std::vector<instant> DrawArrivals(std::size_t count, duration mean_gap);
  /** Runs all events in order of time, including those scheduled meanwhile. */
  void Run();

  /**
   * Starts `plan` now. Calls `on_result`, if given, for each result that arrives before the plan is
   * done, and `on_done` once when it is.
   */
  template <typename Plan>
  void Start(std::uint64_t query,
             std::shared_ptr<Plan> plan,
             std::function<void(const attempt_result&)> on_result,
             std::function<void(const Plan&)> on_done) {
    const auto done = std::make_shared<bool>(false);
    const auto apply = std::make_shared<std::function<void(std::vector<fan_out_action>)>>();
    *apply = [this, query, plan, on_done, done,
              weak = std::weak_ptr(apply)](const std::vector<fan_out_action>& actions) {
      Execute(actions);
      if (plan->IsDone()) {
        if (!*done) {
          *done = true;
          on_done(*plan);
          Schedule(now_, [this, query] { result_handlers_.erase(query); });
        }
        return;
      }
      const instant due = *plan->NextTimer();
      Schedule(due, [plan, due, apply_next = weak.lock(), this] {
        if (!plan->IsDone() && *plan->NextTimer() <= due) {
          (*apply_next)(plan->OnTimer(now_));
        }
      });
    };
    result_handlers_[query] = [this, plan, apply, on_result](const attempt_result& result) {
      if (!plan->IsDone()) {
        if (on_result) {
          on_result(result);
        }
        (*apply)(plan->OnResult(result, now_));
      }
    };
    (*apply)(plan->Start(now_));
  }

 private:
  void Execute(const std::vector<fan_out_action>& actions);
  void Send(const attempt_request& attempt);
  void Cancel(const std::string& address, const attempt_id& id);
  void StartWaiting(const std::string& address);
  void Reply(attempt_result result, duration delay);
  duration DrawServiceTime();

  random_source random_;
  const duration median_;
  const double straggler_share_;
  instant now_{};
  std::uint64_t next_execution_ = 0;
  std::unordered_map<std::string, server> servers_;
  std::multimap<instant, std::function<void()>> events_;
  std::unordered_map<std::uint64_t, std::function<void(const attempt_result&)>> result_handlers_;
};

/** The value below which `share` of `values` lie; 0 if `values` is empty. */
double ComputePercentile(std::vector<double> values, double share);

}  // namespace limpetlever

#endif  // LIMPETLEVER_BENCH_FAN_OUT_SIMULATION_H_
