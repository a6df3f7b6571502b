#include "server/coordinator.h"

#include <utility>

#include "base/errc.h"
#include "base/hash.h"
#include "events/event_log.h"
#include "routing/routing_snapshot.h"
#include "server/cluster_state.h"
#include "server/host_metrics.h"
#include "server/replica_owner.h"
#include "server/running_query.h"
#include "transport/monotonic_clock.h"
#include "transport/peer_links.h"

namespace limpetlever {

namespace {

// The owner answers at the time limit; the margin covers the way of the answer to this host.
constexpr duration kAnswerMargin = std::chrono::milliseconds(250);

event_number SentEvent(attempt_purpose purpose) {
  switch (purpose) {
    case attempt_purpose::hedge:
      return event_number::hedge_sent;
    case attempt_purpose::retry:
      return event_number::retry_sent;
    case attempt_purpose::first:
      break;
  }
  return event_number::attempt_sent;
}

}  // namespace

coordinator::coordinator(cluster_state& state,
                         event_log& events,
                         host_metrics& metrics,
                         peer_links& links,
                         std::uint64_t seed)
    : state_(state),
      events_(events),
      metrics_(metrics),
      links_(links),
      selector_(state.self().data_centre, seed),
      next_query_id_(CombineHashes(Hash(state.self().name), seed)) {}

coordinator::~coordinator() = default;

std::uint64_t coordinator::NextQueryId() {
  return next_query_id_++;
}

query_answer coordinator::Run(query_request request) {
  const auto routing = state_.routing();
  const auto found = routing->workloads.find(request.workload);
  const partition_map* map =
      found == routing->workloads.end() ? nullptr : ChooseVersion(found->second);
  if (map == nullptr) {
    query_answer answer;
    answer.outcome =
        NotRun(errc::no_replica, "no index version of " + request.workload + " is known");
    return answer;
  }
  ++running_count_;
  events_.Record(event_number::query_started, {{"query", std::to_string(request.id)},
                                               {"workload", request.workload},
                                               {"version", std::to_string(map->version)}});
  const std::uint64_t id = request.id;
  const auto query = std::make_shared<running_query>(
      std::move(request), std::shared_ptr<const partition_map>(routing, map), selector_,
      service_records_);
  std::unique_lock lock(selector_mutex_);
  ApplyCurrentTableLocked();
  query->plan.SetSnapshot(routing);
  {
    const std::lock_guard queries_lock(mutex_);
    queries_.emplace(id, query);
  }
  auto actions = query->plan.Start(MonotonicNow());
  lock.unlock();
  Execute(actions);
  lock.lock();
  while (!query->plan.IsDone()) {
    const auto due = query->plan.NextTimer();
    if (due && MonotonicNow() >= *due) {
      actions = query->plan.OnTimer(MonotonicNow());
      lock.unlock();
      Execute(actions);
      lock.lock();
      continue;
    }
    query->changed.wait_until(lock, *due);
  }
  const query_answer answer = query->plan.Answer(MonotonicNow());
  lock.unlock();
  {
    const std::lock_guard queries_lock(mutex_);
    queries_.erase(id);
  }
  --running_count_;
  events_.Record(event_number::query_finished,
                 {{"query", std::to_string(id)},
                  {"state", ToString(answer.outcome.state)},
                  {"answered", std::to_string(answer.answers.size())},
                  {"shards", std::to_string(answer.shard_count)},
                  {"elapsed_us", std::to_string(answer.elapsed.count())}});
  return answer;
}

attempt_result coordinator::RunAttempt(attempt_request attempt) {
  attempt_result no_answer;
  no_answer.id = attempt.id;
  no_answer.replica = attempt.replica;
  no_answer.outcome = MayHaveRun(errc::deadline_exceeded,
                                 "no answer from the replica's owner within the time limit");
  const auto promise = std::make_shared<std::promise<attempt_result>>();
  auto answer = promise->get_future();
  {
    const std::lock_guard lock(mutex_);
    awaited_attempts_.emplace(attempt.id, promise);
  }
  const instant deadline = MonotonicNow() + attempt.time_limit + kAnswerMargin;
  Execute({{.kind = fan_out_action::action_kind::send, .attempt = std::move(attempt)}});
  const bool is_answered = answer.wait_until(deadline) == std::future_status::ready;
  {
    const std::lock_guard lock(mutex_);
    awaited_attempts_.erase(no_answer.id);
  }
  return is_answered ? answer.get() : no_answer;
}

bool coordinator::CompleteAwaitedAttempt(const attempt_result& result) {
  std::shared_ptr<std::promise<attempt_result>> promise;
  {
    const std::lock_guard lock(mutex_);
    const auto node = awaited_attempts_.extract(result.id);
    if (node.empty()) {
      return false;
    }
    promise = node.mapped();
  }
  RecordAnswer(result);
  promise->set_value(result);
  return true;
}

void coordinator::ApplyCurrentTable() {
  const std::lock_guard lock(selector_mutex_);
  ApplyCurrentTableLocked();
}

void coordinator::ApplyCurrentTableLocked() {
  const auto table = state_.table();
  if (table->version != table_version_) {
    table_version_ = table->version;
    selector_.SetTable(*table, MonotonicNow());
    service_records_.SetTable(*table);
  }
}

void coordinator::RecordSent(const fan_out_action& action, const std::string& owner) {
  events_.Record(SentEvent(action.purpose), {{"attempt", ToString(action.attempt.id)},
                                             {"replica", action.attempt.replica},
                                             {"owner", owner},
                                             {"shard", std::to_string(action.attempt.id.shard)}});
}

void coordinator::RecordAnswer(const attempt_result& result) {
  const bool ran = result.outcome.state == run_state::ran;
  events_.Record(event_number::attempt_answered,
                 {{"attempt", ToString(result.id)},
                  {"replica", result.replica},
                  {"state", ToString(result.outcome.state)},
                  {"error", ran ? "" : result.outcome.error.message()},
                  {"elapsed_us", std::to_string(result.elapsed.count())}});
}

void coordinator::RecordLateAnswer(const attempt_result& result) {
  metrics_.OnLateAnswer();
  events_.Record(event_number::late_answer_dropped, {{"attempt", ToString(result.id)},
                                                     {"replica", result.replica},
                                                     {"state", ToString(result.outcome.state)}});
}

void coordinator::Execute(const std::vector<fan_out_action>& actions) {
  // The attempts for one owner are sent in one message, and so are the cancellations.
  std::map<std::string, std::vector<attempt_request>> sends;
  std::map<std::string, std::vector<attempt_id>> cancels;
  std::vector<attempt_request> unowned;
  for (const fan_out_action& action : actions) {
    const auto owner = state_.FindReplicaOwner(action.attempt.replica);
    if (action.kind == fan_out_action::action_kind::cancel) {
      if (owner) {
        cancels[owner->peer_address].push_back(action.attempt.id);
      }
      continue;
    }
    RecordSent(action, owner ? owner->name : "");
    if (owner) {
      sends[owner->peer_address].push_back(action.attempt);
    } else {
      unowned.push_back(action.attempt);
    }
  }
  for (auto& [peer, ids] : cancels) {
    if (peer == state_.self().peer_address) {
      local_owner_->Cancel(ids);
    } else {
      links_.SendCancels(peer, std::move(ids));
    }
  }
  for (auto& [peer, attempts] : sends) {
    if (peer == state_.self().peer_address) {
      local_owner_->Handle(peer, std::move(attempts));
    } else {
      links_.SendAttempts(peer, std::move(attempts));
    }
  }
  if (!unowned.empty()) {
    OnSendFailure(unowned, NotRun(errc::not_owner, "the replica has no owner"));
  }
}

void coordinator::OnSendFailure(const std::vector<attempt_request>& attempts,
                                const verdict& outcome) {
  std::vector<attempt_result> results;
  for (const attempt_request& attempt : attempts) {
    results.push_back({.id = attempt.id,
                       .replica = attempt.replica,
                       .outcome = outcome,
                       .body = {},
                       .snapshot_version = 0,
                       .elapsed = {},
                       .limit = 0,
                       .in_flight = 0});
  }
  OnResults(results);
}

void coordinator::OnResults(const std::vector<attempt_result>& results) {
  std::vector<fan_out_action> actions;
  for (const attempt_result& result : results) {
    if (CompleteAwaitedAttempt(result)) {
      continue;
    }
    std::shared_ptr<running_query> query;
    {
      const std::lock_guard lock(mutex_);
      const auto found = queries_.find(result.id.query);
      if (found != queries_.end()) {
        query = found->second;
      }
    }
    if (!query) {
      RecordLateAnswer(result);
      continue;
    }
    const std::lock_guard lock(selector_mutex_);
    query->plan.SetSnapshot(state_.routing());
    const int late_before = query->plan.dropped_results();
    const int restarts_before = query->plan.restarts();
    auto next_actions = query->plan.OnResult(result, MonotonicNow());
    if (query->plan.dropped_results() > late_before) {
      RecordLateAnswer(result);
    } else {
      // Recorded under the lock, so that the event query_finished follows the last answer.
      RecordAnswer(result);
    }
    if (query->plan.restarts() > restarts_before) {
      events_.Record(event_number::query_restarted,
                     {{"query", std::to_string(result.id.query)},
                      {"version", std::to_string(query->plan.version())}});
    }
    actions.insert(actions.end(), next_actions.begin(), next_actions.end());
    query->changed.notify_all();
  }
  if (!actions.empty()) {
    Execute(actions);
  }
}

}  // namespace limpetlever
