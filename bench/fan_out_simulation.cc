#include "fan_out_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/errc.h"

namespace limpetlever {

fan_out_simulation::fan_out_simulation(std::uint64_t seed, duration median, double straggler_share)
    : random_(seed), median_(median), straggler_share_(straggler_share) {}

std::vector<instant> fan_out_simulation::DrawArrivals(std::size_t count, duration mean_gap) {
  std::vector<instant> arrivals;
  instant next{};
  for (std::size_t i = 0; i < count; ++i) {
    next += std::chrono::duration_cast<duration>(mean_gap * -std::log(1.0 - random_.Unit()));
    arrivals.push_back(next);
  }
  return arrivals;
}

void fan_out_simulation::Run() {
  while (!events_.empty()) {
    const auto next = events_.begin();
    now_ = next->first;
    const auto callback = std::move(next->second);
    events_.erase(next);
    callback();
  }
}

duration fan_out_simulation::DrawServiceTime() {
  constexpr double kLogNormalSigma = 0.25;
  constexpr double kStragglerFactor = 20.0;
  double normal = -6.0;  // The sum of 12 uniform values is almost normal with variance 1.
  for (int i = 0; i < 12; ++i) {
    normal += random_.Unit();
  }
  const double factor =
      random_.Unit() < straggler_share_ ? kStragglerFactor : std::exp(kLogNormalSigma * normal);
  return std::chrono::duration_cast<duration>(median_ * factor);
}

void fan_out_simulation::Execute(const std::vector<fan_out_action>& actions) {
  for (const fan_out_action& action : actions) {
    if (action.kind == fan_out_action::action_kind::send) {
      Send(action.attempt);
    } else {
      Cancel(action.attempt.replica, action.attempt.id);
    }
  }
}

void fan_out_simulation::Send(const attempt_request& attempt) {
  server& target = servers_[attempt.replica];
  ++target.started;
  target.last_attempt = now_;
  if (target.failing) {
    Reply(
        {.id = attempt.id, .replica = attempt.replica, .outcome = MayHaveRun(errc::backend_error)},
        std::chrono::milliseconds(1));
    return;
  }
  target.waiting.push_back(attempt);
  StartWaiting(attempt.replica);
}

void fan_out_simulation::Cancel(const std::string& address, const attempt_id& id) {
  server& target = servers_[address];
  std::erase_if(target.waiting, [&id](const attempt_request& item) { return item.id == id; });
  target.running.erase(id);
  StartWaiting(address);
}

void fan_out_simulation::StartWaiting(const std::string& address) {
  server& target = servers_[address];
  while (!target.waiting.empty() && static_cast<int>(target.running.size()) < target.limit) {
    const attempt_request attempt = std::move(target.waiting.front());
    target.waiting.pop_front();
    const std::uint64_t execution = ++next_execution_;
    target.running[attempt.id] = execution;
    Schedule(now_ + DrawServiceTime(), [this, attempt, execution] {
      server& origin = servers_[attempt.replica];
      const auto found = origin.running.find(attempt.id);
      if (found == origin.running.end() || found->second != execution) {
        return;
      }
      origin.running.erase(found);
      Reply({.id = attempt.id,
             .replica = attempt.replica,
             .outcome = Ran(),
             .snapshot_version = attempt.snapshot_version,
             .limit = origin.limit,
             .in_flight = static_cast<int>(origin.running.size())},
            origin.extra_latency);
      StartWaiting(attempt.replica);
    });
  }
}

void fan_out_simulation::Reply(attempt_result result, duration delay) {
  Schedule(now_ + delay, [this, result = std::move(result)] {
    const auto found = result_handlers_.find(result.id.query);
    if (found != result_handlers_.end()) {
      found->second(result);
    }
  });
}

double ComputePercentile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0.0;
  }
  std::ranges::sort(values);
  const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
  return values[std::min(values.size() - 1, index)];
}

}  // namespace limpetlever
