#include "node/query_service.h"

#include <algorithm>
#include <utility>

#include "config/route_table.h"
#include "net/event_loop.h"
#include "node/log_writer.h"
#include "node/node_metrics.h"
#include "node/replica_pools.h"
#include "platform/request_codec.h"
#include "query/query_outcome.h"
#include "replicas/admission.h"
#include "replicas/replica_record.h"
#include "replicas/replica_registry.h"

namespace limpetlever {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// Refused callers are asked to retry after this time plus a random part of at most the same length,
// so that they do not return all at once.
constexpr duration kRetryAfter = std::chrono::milliseconds(150);
// Requests that arrived while the process was paused are read within this time after it.
constexpr duration kBacklogTime = std::chrono::milliseconds(200);
// Subtracted from the caller's deadline for the backend server, so that its answer can be passed on
// in time.
constexpr duration kDeadlineMargin = std::chrono::milliseconds(5);
// Time that attempts still in flight after the answer are given to end by themselves. Cancelling
// one costs its connection.
constexpr duration kAbandonedAttemptTimeout = std::chrono::milliseconds(300);

}  // namespace

query_service::query_service(event_loop& loop,
                             replica_registry& replicas,
                             replica_pools& pools,
                             log_writer& log,
                             node_metrics& metrics,
                             std::uint64_t seed)
    : loop_(loop),
      pools_(pools),
      log_(log),
      metrics_(metrics),
      state_{.replicas = replicas, .random = random_source(seed)},
      crashes_(loop, log) {}

duration query_service::RandomRetryAfter() {
  return kRetryAfter + duration(static_cast<std::int64_t>(
                           state_.random.Below(static_cast<std::uint64_t>(kRetryAfter.count()))));
}

void query_service::Refuse(const std::shared_ptr<server_connection>& caller,
                           int status,
                           const char* reason,
                           const std::string& request_id) {
  const auto retry_after =
      status == kUnavailable ? std::optional<duration>(RandomRetryAfter()) : std::nullopt;
  log_.Record(event_number::request_refused, {{"id", request_id},
                                              {"status", status},
                                              {"reason", reason},
                                              {"version", table_ ? table_->version() : 0}});
  const auto answer = platform::WriteErrorAnswer(status, retry_after);
  metrics_.OnAnswered(status, 0, duration::zero(), 0);
  caller->Answer(answer.head, answer.body);
}

void query_service::Handle(const std::shared_ptr<server_connection>& caller) {
  http_message& request = caller->request();
  auto caller_options = platform::ParseCallerOptions(request);
  if (!table_) {
    Refuse(caller, kUnavailable, "no_config", caller_options.request_id);
    return;
  }
  const route* found_route = table_->Find(request.Find("Host"), request.target);
  if (found_route == nullptr) {
    Refuse(caller, kNotFound, "no_route", caller_options.request_id);
    return;
  }
  if (caller_options.request_id.empty()) {
    Refuse(caller, kBadRequest, "no_request_id", caller_options.request_id);
    return;
  }
  if (IsSuspended()) {
    Refuse(caller, kUnavailable, "resumed", caller_options.request_id);
    return;
  }
  const request_fingerprints fingerprints = ComputeFingerprints(request, caller->peer_ip());
  if (crashes_.IsBlocked(fingerprints)) {
    Refuse(caller, kUnavailable, "crashes_servers", caller_options.request_id);
    return;
  }
  const instant now = loop_.Now();
  const duration wait_stated =
      std::min(caller_options.timeout.value_or(found_route->timeout), found_route->timeout);
  duration wait = wait_stated - TimeSpentPaused();
  if (wait <= duration::zero()) {
    Refuse(caller, kUnavailable, "too_late", caller_options.request_id);
    return;
  }
  if (!FitsBeforeStop(*found_route, wait, now)) {
    Refuse(caller, kUnavailable, "leaving", caller_options.request_id);
    return;
  }
  if (stop_at_) {
    wait = std::min(wait, *stop_at_ - now);
  }
  auto query = std::make_shared<running_query>(
      running_query{.caller = caller,
                    .request_id = std::move(caller_options.request_id),
                    .fingerprints = fingerprints,
                    .writer = platform::replica_request_writer(request),
                    .plan = query_plan(table_, *found_route, state_, now, now + wait),
                    .started = now});
  running_.emplace(query.get(), query);
  caller->OnCallerDisconnected([this, weak = std::weak_ptr(query)] {
    if (const auto locked = weak.lock()) {
      OnCallerDisconnected(locked);
    }
  });
  query->plan.SetSentCheck([raw = query.get()](std::uint32_t number) {
    if (number >= raw->attempts.size()) {
      return true;  // It is about to be sent: the plan has decided on it in the same call.
    }
    const auto& attempt = raw->attempts[number];
    return attempt && attempt->connection != nullptr;
  });
  query_plan::action_list actions;
  query->plan.Start(now, actions);
  Execute(query, actions);
}

bool query_service::IsSuspended() const {
  return loop_.Now() < suspended_until_;
}

duration query_service::TimeSpentPaused() const {
  const auto& pause = loop_.last_pause();
  return loop_.Now() - pause.end < kBacklogTime ? pause.length : duration::zero();
}

bool query_service::FitsBeforeStop(const route& query_route, duration wait, instant now) const {
  if (!stop_at_) {
    return true;
  }
  // A request that must not run twice is refused unless its whole time is left: an answer that
  // comes too late would leave its caller in doubt.
  const duration needed =
      query_route.is_idempotent ? std::min(wait, query_route.target_latency) : wait;
  return now + needed <= *stop_at_;
}

void query_service::FinishAll() {
  std::vector<query_ptr> queries;
  for (const auto& [key, weak] : running_) {
    if (auto query = weak.lock()) {
      queries.push_back(std::move(query));
    }
  }
  for (const query_ptr& query : queries) {
    query_plan::action_list actions;
    query->plan.OnHostStopping(loop_.Now(), actions);
    Execute(query, actions);
  }
}

void query_service::Execute(const query_ptr& query, query_plan::action_list& actions) {
  for (const query_action& action : actions) {
    switch (action.kind) {
      case query_action::kind_type::send:
        // Sending the one before may have ended the query.
        if (!query->is_answered) {
          SendAttempt(query, action);
        }
        break;
      case query_action::kind_type::abandon:
        WithdrawUnsent(query, action.attempt);
        break;
      case query_action::kind_type::finish:
        Answer(query);
        break;
    }
  }
  SetTimer(query);
}

void query_service::SendAttempt(const query_ptr& query, const query_action& action) {
  auto attempt = std::make_shared<replica_attempt>();
  attempt->target = action.target;
  attempt->write_request = [query, target = action.target](duration time_left) {
    return query->writer.Write(target->registered, time_left - kDeadlineMargin);
  };
  attempt->is_head = query->writer.IsHead();
  attempt->priority = query->plan.matched_route().priority;
  attempt->deadline = query->plan.deadline();
  const instant now = loop_.Now();
  attempt->waiting = {.chosen = now,
                      .is_within_warm_up_limit = action.target->warm_up.IsLimiting(now)};
  attempt->on_response = [this, query, number = action.attempt](http_message& response) {
    return OnResponse(query, number, response);
  };
  attempt->on_lost = [this, fingerprints = query->fingerprints, server = action.target] {
    crashes_.AddLost(server->registered, fingerprints);
  };
  attempt->on_excluded = [this, query, number = action.attempt] { return Move(query, number); };
  for (const auto& earlier : query->answered_attempts) {
    if (earlier.target == attempt->target.get()) {
      attempt->avoided_connections.push_back(earlier.connection_number);
    }
  }
  attempt->on_failure = [this, query, number = action.attempt](attempt_failure failure) {
    OnFailure(query, number, failure);
  };
  query->attempts.resize(std::max<std::size_t>(query->attempts.size(), action.attempt + 1));
  query->attempts[action.attempt] = attempt;
  metrics_.OnAttemptSent(action.reason);
  if (action.reason != send_reason::first) {
    log_.Record(event_number::attempt_repeated, {{"id", query->request_id},
                                                 {"reason", ToString(action.reason)},
                                                 {"replica", action.target->registered.id},
                                                 {"service", action.target->registered.service},
                                                 {"after_ms", loop_.Now() - query->started}});
  }
  pools_.Send(std::move(attempt));
}

void query_service::WithdrawUnsent(const query_ptr& query, std::uint32_t attempt) {
  const auto waiting = attempt < query->attempts.size() ? query->attempts[attempt] : nullptr;
  if (!waiting || waiting->connection != nullptr) {
    return;
  }
  ++query->unsent_attempts;
  query->attempts[attempt] = nullptr;
  query->plan.OnCancelled(attempt, loop_.Now());
  pools_.Cancel(waiting);
}

bool query_service::OnResponse(const query_ptr& query,
                               std::uint32_t attempt,
                               http_message& response) {
  const auto& target = query->attempts[attempt]->target;
  const exclusion excluded_before = CheckAdmission(*target, loop_.Now()).reason;
  if (!platform::IsAnswerTo(response, query->request_id)) {
    log_.Record(event_number::foreign_answer_dropped,
                {{"id", query->request_id}, {"replica", target->registered.id}});
    ApplyNotice(*target, platform::ParseNotice(response, ReadWallClock()), loop_.Now(),
                state_.random.Unit());
    ReportNotice(*target, excluded_before);
    return false;
  }
  auto reply = platform::ParseReply(response, ReadWallClock());
  if (reply.status / 100 != 2) {
    metrics_.OnAttemptFailed();
    log_.Record(event_number::attempt_failed, {{"id", query->request_id},
                                               {"replica", target->registered.id},
                                               {"service", target->registered.service},
                                               {"cause", reply.is_not_run ? "refused" : "failed"},
                                               {"status", reply.status},
                                               {"after_ms", loop_.Now() - query->started}});
  }
  const std::shared_ptr<replica_record> record = target;
  const double limit_before = record->limit.requests_per_s();
  if (reply.status / 100 != 2) {
    query->answered_attempts.push_back(
        {.target = record.get(), .connection_number = query->attempts[attempt]->connection_number});
  }
  query->attempts[attempt] = nullptr;
  CheckBlocked(query);
  query_plan::action_list actions;
  query->plan.OnReply(attempt, std::move(reply), loop_.Now(), actions);
  ReportLimit(*record, limit_before);
  ReportNotice(*record, excluded_before);
  Execute(query, actions);
  return true;
}

void query_service::ReportLimit(const replica_record& record, double before) {
  const double limit = record.limit.requests_per_s();
  if (limit == before) {
    return;
  }
  log_.Record(event_number::request_limit_changed, {{"replica", record.registered.id},
                                                    {"service", record.registered.service},
                                                    {"per_s", limit},
                                                    {"before", before},
                                                    {"source", "own"}});
  if (limit == 0.0 && record.limit.IsFirstHost() && on_limit_ended_) {
    on_limit_ended_(record.registered.id);
  }
}

bool query_service::Move(const query_ptr& query, std::uint32_t attempt) {
  query_plan::action_list actions;
  if (!query->plan.Move(attempt, loop_.Now(), actions)) {
    return false;
  }
  query->attempts[attempt] = nullptr;
  Execute(query, actions);
  return true;
}

void query_service::ReportNotice(const replica_record& record, exclusion before) {
  const instant now = loop_.Now();
  const admission current = CheckAdmission(record, now);
  const bool is_notice = current.reason == exclusion::leaving || current.reason == exclusion::pause;
  if (!is_notice || current.reason == before) {
    return;
  }
  log_.Record(event_number::replica_excluded,
              {{"replica", record.registered.id},
               {"service", record.registered.service},
               {"reason", ToString(current.reason)},
               {"for_ms", current.next ? *current.next - now : duration::zero()}});
}

void query_service::OnLimitEndedElsewhere(const std::string& id) {
  const auto record = state_.replicas.Find(id);
  if (record && record->limit.IsNamed()) {
    log_.Record(event_number::request_limit_changed, {{"replica", id},
                                                      {"service", record->registered.service},
                                                      {"per_s", 0.0},
                                                      {"before", record->limit.requests_per_s()},
                                                      {"source", "peer"}});
    record->limit.OnEnded();
  }
}

void query_service::OnFailure(const query_ptr& query,
                              std::uint32_t attempt,
                              attempt_failure failure) {
  const auto& target = query->attempts[attempt]->target;
  metrics_.OnAttemptFailed();
  log_.Record(event_number::attempt_failed, {{"id", query->request_id},
                                             {"replica", target->registered.id},
                                             {"service", target->registered.service},
                                             {"cause", ToString(failure)},
                                             {"status", 0},
                                             {"after_ms", loop_.Now() - query->started}});
  query->attempts[attempt] = nullptr;
  CheckBlocked(query);
  query_plan::action_list actions;
  query->plan.OnFailure(attempt, failure, loop_.Now(), actions);
  Execute(query, actions);
}

void query_service::Answer(const query_ptr& query) {
  query->is_answered = true;
  query->cancel_attempts_at = loop_.Now();
  running_.erase(query.get());
  auto& outcome = query->plan.outcome();
  if (outcome.HasAnswer()) {
    query->cancel_attempts_at += kAbandonedAttemptTimeout;
  }
  if (outcome.IsComplete()) {
    crashes_.OnCompleted(query->fingerprints);
  }
  const int missing = outcome.missing_shards;
  const route& query_route = query->plan.matched_route();
  const auto answer = platform::WriteQueryAnswer(query_route, outcome, RandomRetryAfter());
  const duration elapsed = loop_.Now() - query->started;
  log_.Record(event_number::request_answered, {{"id", query->request_id},
                                               {"route", query_route.name},
                                               {"version", query->plan.config_version()},
                                               {"status", answer.status},
                                               {"state", ToString(outcome.result.state)},
                                               {"cause", outcome.result.detail},
                                               {"missing", missing},
                                               {"attempts", query->plan.attempts()},
                                               {"far", query->plan.remote_attempts()},
                                               {"hedges", query->plan.hedges()},
                                               {"retries", query->plan.retries()},
                                               {"omitted", query->plan.omitted_shards()},
                                               {"limited", query->plan.limited_shards()},
                                               {"budget_empty", query->plan.budget_refusals()},
                                               {"unsent", query->unsent_attempts},
                                               {"elapsed_ms", elapsed}});
  metrics_.OnAnswered(answer.status, query_route.priority, elapsed, missing);
  metrics_.OnRetryBudgetExhausted(query->plan.budget_refusals());
  query->caller->Answer(answer.head, answer.body);
  query->caller.reset();
}

void query_service::CheckBlocked(const query_ptr& query) {
  if (crashes_.IsBlocked(query->fingerprints)) {
    query->plan.ForbidRetries();
  }
}

void query_service::OnCallerDisconnected(const query_ptr& query) {
  if (std::exchange(query->is_answered, true)) {
    return;
  }
  running_.erase(query.get());
  metrics_.OnCallerDisconnected();
  log_.Record(event_number::caller_left, {{"id", query->request_id},
                                          {"route", query->plan.matched_route().name},
                                          {"elapsed_ms", loop_.Now() - query->started}});
  query->caller.reset();
  CancelAttempts(query);
}

void query_service::CancelAttempts(const query_ptr& query) {
  for (std::uint32_t i = 0; i < query->attempts.size(); ++i) {
    if (const auto attempt = std::exchange(query->attempts[i], nullptr)) {
      const bool was_sent = attempt->connection != nullptr;
      if (was_sent && !query->plan.outcome().IsComplete()) {
        // A server that crashed without closing its connections does not answer either.
        crashes_.AddLost(attempt->target->registered, query->fingerprints);
      }
      query->plan.OnCancelled(i, loop_.Now());
      pools_.Cancel(attempt);
    }
  }
  loop_.timers().Cancel(query->timer);
}

void query_service::SetTimer(const query_ptr& query) {
  const bool has_attempts = std::any_of(query->attempts.begin(), query->attempts.end(),
                                        [](const auto& attempt) { return attempt != nullptr; });
  std::optional<instant> due;
  if (!query->is_answered) {
    due = query->plan.NextTimer();
  } else if (has_attempts) {
    due = query->cancel_attempts_at;
  }
  if (due && query->timer != 0 && query->timer_due == *due) {
    return;
  }
  loop_.timers().Cancel(std::exchange(query->timer, 0));
  if (!due) {
    return;
  }
  query->timer_due = *due;
  query->timer = loop_.timers().Subscribe(*due, [this, query](instant now) {
    query->timer = 0;
    if (query->is_answered) {
      CancelAttempts(query);
      return;
    }
    CheckBlocked(query);
    query_plan::action_list actions;
    query->plan.OnTimer(now, actions);
    Execute(query, actions);
  });
}

}  // namespace limpetlever
