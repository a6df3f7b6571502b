#include "query/query_plan.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/random_source.h"
#include "config/route_table.h"
#include "query/query_state.h"
#include "replicas/admission.h"
#include "replicas/replica_record.h"
#include "replicas/replica_registry.h"

namespace limpetlever {

namespace {

// An attempt that takes longer than this many medians is a straggler. With the variation of work
// that the services declare (0.35 to 0.5 of the mean), about 5 in 100 attempts take longer.
constexpr double kStragglerMedians = 2.0;
constexpr duration kMinHedgeDelay = std::chrono::milliseconds(3);
// Median latency, as a share of the target latency, that is assumed until a route has samples.
constexpr double kAssumedMedianShare = 0.25;
// A hedge is sent at least this many medians before the target, so that it can finish in time.
constexpr double kMediansAfterHedge = 2.0;
// Part of the target latency that is not available to backend servers: the network between caller
// and host (1 ms each way), and reading and writing on a host with a sixth of a core.
constexpr duration kReplyOverhead = std::chrono::milliseconds(15);
// Random spread of the order in which late shards are omitted, relative to their expected latency,
// so that different queries omit different shards.
constexpr double kOmissionNoise = 1.0;
// Penalty for a server in another data centre, as a share of the target latency.
constexpr double kRemotePenaltyShare = 0.15;
// Covers the round trip to another data centre of the region, about 2 ms, with a margin.
constexpr duration kMinRemotePenalty = std::chrono::milliseconds(3);
// Includes attempts that were refused by the backend server.
constexpr int kMaxSendsPerShard = 4;

// A host without a part in the limits of servers may have to wait for minutes, but its caller can
// turn to another host.
constexpr duration kMaxLimitRetryAfter = std::chrono::seconds(5);

int HttpStatusClass(int status) {
  return status / 100;
}

/** For example " 2 leaving, 1 limit". */
std::string DescribeExclusions(const std::array<int, kExclusionCount>& counts) {
  std::string text;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    const auto reason = static_cast<exclusion>(i);
    if (reason != exclusion::none && counts[i] > 0) {
      text += (text.empty() ? " " : ", ") + std::to_string(counts[i]) + " " + ToString(reason);
    }
  }
  return text;
}

}  // namespace

query_plan::query_plan(std::shared_ptr<const route_table> table,
                       const route& matched_route,
                       query_state& state,
                       instant started,
                       instant deadline)
    : table_(std::move(table)),
      route_(matched_route),
      state_(state),
      started_(started),
      deadline_(deadline),
      answer_by_(std::min(started + matched_route.target_latency, deadline) - kReplyOverhead) {
  ChooseServices();
  const auto median = state_.latencies[route_.name].Median();
  choice_options_.typical_latency = median.value_or(
      std::chrono::duration_cast<duration>(route_.target_latency * kAssumedMedianShare));
  const auto straggler_delay =
      std::chrono::duration_cast<duration>(choice_options_.typical_latency * kStragglerMedians);
  const auto latest_hedge_delay =
      std::chrono::duration_cast<duration>(route_.target_latency - kReplyOverhead -
                                           choice_options_.typical_latency * kMediansAfterHedge);
  choice_options_.remote_penalty =
      std::max(kMinRemotePenalty,
               std::chrono::duration_cast<duration>(route_.target_latency * kRemotePenaltyShare));
  choice_options_.stall_limit =
      std::max(kMinHedgeDelay, std::min(straggler_delay, latest_hedge_delay));
}

std::int64_t query_plan::config_version() const {
  return table_->version();
}

void query_plan::ChooseServices() {
  if (route_.IsSharded()) {
    shards_.reserve(route_.shards.size());
    for (const std::string& service : route_.shards) {
      shards_.push_back({.service = service});
    }
    attempts_.reserve(route_.shards.size() * 2);
    return;
  }
  double total_weight = 0.0;
  for (const weighted_service& part : route_.services) {
    total_weight += part.weight;
  }
  double remaining_weight = state_.random.Unit() * total_weight;
  for (const weighted_service& part : route_.services) {
    remaining_weight -= part.weight;
    if (remaining_weight < 0.0 || &part == &route_.services.back()) {
      shards_.push_back({.service = part.service});
      return;
    }
  }
}

retry_budget& query_plan::FindBudget(const shard_state& shard) {
  return state_.budgets[shard.service];
}

int query_plan::NeededParts() const {
  const auto count = static_cast<double>(shards_.size());
  // Without the margin a ratio such as 0.95 of 20 could be rounded up to 20.
  const int needed = static_cast<int>(std::ceil(count * route_.min_shard_ratio - 1e-9));
  return route_.IsSharded() ? std::max(1, needed) : 1;
}

bool query_plan::MayAsk(const shard_state& shard, instant now) const {
  return CheckAdmission(state_.replicas, shard.service, now).MaySend(now);
}

std::optional<instant> query_plan::NextPossibleStart(instant now) const {
  std::vector<instant> possible;
  for (const shard_state& shard : shards_) {
    if (const auto next = CheckAdmission(state_.replicas, shard.service, now).next) {
      possible.push_back(*next);
    }
  }
  const auto needed = static_cast<std::size_t>(NeededParts());
  if (possible.size() < needed) {
    return std::nullopt;
  }
  std::sort(possible.begin(), possible.end());
  return possible[needed - 1];
}

void query_plan::Start(instant now, action_list& actions) {
  int usable_shards = 0;
  exclusion_counts excluded{};
  for (const shard_state& shard : shards_) {
    FindBudget(shard).OnRequest(state_.budget_limits, now);
    const admission best = CheckAdmission(state_.replicas, shard.service, now);
    usable_shards += best.MaySend(now) ? 1 : 0;
    limited_shards_ += best.next && !best.MaySend(now) ? 1 : 0;
    ++excluded[static_cast<std::size_t>(best.reason)];
  }
  if (usable_shards < NeededParts()) {
    Fail(errc::no_replica, "too few shards may be asked:" + DescribeExclusions(excluded), now,
         actions);
    return;
  }
  OmitLateShards(usable_shards, now);
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    if (!shards_[shard].is_lost && !Send(shard, send_reason::first, now, actions)) {
      MarkLost(shard);
    }
  }
  FinishIfPossible(now, actions);
}

duration query_plan::ExpectedShardLatency(const shard_state& shard, instant now) const {
  // Stalls are ignored: a server that pauses briefly answers its requests afterwards.
  replica_choice_options options = choice_options_;
  options.stall_limit = duration::max();
  duration min_latency = duration::max();
  for (const auto& record : state_.replicas.FindByService(shard.service)) {
    if (CheckAdmission(*record, now).MaySend(now)) {
      min_latency = std::min(min_latency, ExpectedLatency(*record, options, now));
    }
  }
  return min_latency;
}

void query_plan::OmitLateShards(int usable_shards, instant now) {
  // A slow shard that every query asks is overloaded and late for all of them. If each query omits
  // as many late shards as its answer may lack, and different queries omit different ones, the
  // shards that are asked can answer in time.
  int allowance = usable_shards - NeededParts();
  if (allowance <= 0) {
    return;
  }
  struct late_shard {
    double rank = 0.0;
    std::size_t shard = 0;
  };
  std::vector<late_shard> late;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    if (!MayAsk(shards_[i], now)) {
      continue;
    }
    const duration expected = ExpectedShardLatency(shards_[i], now);
    if (now + expected > answer_by_) {
      const double noise = 1.0 - kOmissionNoise / 2 + kOmissionNoise * state_.random.Unit();
      late.push_back({.rank = static_cast<double>(expected.count()) * noise, .shard = i});
    }
  }
  std::sort(late.begin(), late.end(),
            [](const late_shard& a, const late_shard& b) { return a.rank > b.rank; });
  for (const late_shard& item : late) {
    if (allowance-- == 0) {
      break;
    }
    MarkLost(item.shard);
    ++omitted_shards_;
  }
}

bool query_plan::MayAskAnother(const shard_state& shard) const {
  return shard.asked.count() < route_.max_attempts;
}

std::shared_ptr<replica_record> query_plan::ChooseUntried(const shard_state& shard, instant now) {
  if (!MayAskAnother(shard)) {
    return nullptr;
  }
  return ChooseReplica(state_.replicas, shard.service, shard.asked.known(), choice_options_,
                       state_.random, now);
}

std::shared_ptr<replica_record> query_plan::ChooseAgain(const shard_state& shard,
                                                        bool only_serving,
                                                        instant now) {
  std::vector<const replica_record*> excluded;
  for (const auto& record : state_.replicas.FindByService(shard.service)) {
    const bool may_ask = shard.asked.Contains(record.get()) ||
                         (shard.asked.IsKnown(record.get()) && MayAskAnother(shard));
    const bool is_open = std::any_of(
        attempts_.begin(), attempts_.end(),
        [&record](const attempt_state& item) { return item.is_open && item.target == record; });
    const bool is_left_out = only_serving && record->answered_at <= record->refused_at;
    if (!may_ask || is_open || is_left_out) {
      excluded.push_back(record.get());
    }
  }
  return ChooseReplica(state_.replicas, shard.service, excluded, choice_options_, state_.random,
                       now);
}

bool query_plan::Send(std::size_t shard_index,
                      send_reason reason,
                      instant now,
                      action_list& actions) {
  auto target = ChooseUntried(shards_[shard_index], now);
  if (!target) {
    target = ChooseAgain(shards_[shard_index], false, now);
  }
  if (!target) {
    return false;
  }
  SendTo(shard_index, std::move(target), reason, now, actions);
  return true;
}

void query_plan::SendTo(std::size_t shard_index,
                        std::shared_ptr<replica_record> target,
                        send_reason reason,
                        instant now,
                        action_list& actions) {
  shard_state& shard = shards_[shard_index];
  shard.asked.Add(target.get());
  ++shard.sends;
  ++shard.open_attempts;
  shard.hedge_at = now + choice_options_.stall_limit;
  const auto attempt = static_cast<std::uint32_t>(attempts_.size());
  attempts_.push_back({.shard = shard_index, .target = target, .sent = now});
  target->load.OnSent(now);
  target->limit.OnSent(now);
  target->pause.OnSent(now);
  target->warm_up.OnSent(now);
  remote_attempts_ += target->is_local ? 0 : 1;
  actions.push_back({.kind = query_action::kind_type::send,
                     .attempt = attempt,
                     .reason = reason,
                     .target = std::move(target)});
}

void query_plan::CloseAttempt(attempt_state& item) {
  item.is_open = false;
  --shards_[item.shard].open_attempts;
}

void query_plan::OnReply(std::uint32_t attempt,
                         replica_reply reply,
                         instant now,
                         action_list& actions) {
  attempt_state& item = attempts_[attempt];
  replica_record& record = *item.target;
  // Also holds in an answer that comes too late for the query.
  ApplyNotice(record, reply.notice, now, state_.random.Unit());
  if (!item.is_open) {
    return;
  }
  CloseAttempt(item);
  if (!reply.notice.pause && !reply.is_misdirected) {
    record.pause.OnNotAsked(item.sent);
  }
  if (reply.load) {
    record.load.OnReport(*reply.load, now);
  }
  if (reply.request_limit) {
    record.limit.OnNamed(*reply.request_limit, now);
  } else if (!reply.is_not_run) {
    // A server that rejects a request may do so before it knows its limit.
    record.limit.OnNotNamed(item.sent);
  }
  const bool is_success = HttpStatusClass(reply.status) == 2 && !reply.signature.empty();
  if (is_success) {
    record.load.OnAnswered(item.sent, now, choice_options_.typical_latency);
    record.answered_at = now;
    state_.latencies[route_.name].Add(now - item.sent);
  } else {
    record.load.OnFailed(item.sent, now);
  }
  record.refused_at = reply.is_not_run ? now : record.refused_at;
  record.is_misdirected = record.is_misdirected || reply.is_misdirected;
  UpdateExclusion(record, now);
  may_have_run_ = may_have_run_ || !reply.is_not_run;
  shard_state& shard = shards_[item.shard];
  if (is_done_ || shard.is_answered) {
    return;
  }
  // A request that must not run twice is not retried once it may have run: the server's failure is
  // its answer.
  const bool is_answer = is_success || !(reply.is_not_run || route_.is_idempotent);
  if (is_answer) {
    RecordAnswer(item.shard, std::move(reply));
  } else {
    if (!route_.IsSharded() && !reply.is_not_run) {
      last_failure_ = std::move(reply);
    }
    Retry(item.shard, true, now, actions);
  }
  FinishIfPossible(now, actions);
}

void query_plan::OnFailure(std::uint32_t attempt,
                           attempt_failure failure,
                           instant now,
                           action_list& actions) {
  attempt_state& item = attempts_[attempt];
  if (!item.is_open) {
    return;
  }
  CloseAttempt(item);
  const bool may_have_run = MayHaveRun(failure);
  if (!may_have_run) {
    shards_[item.shard].asked.Withdraw(item.target.get());
  }
  if (failure == attempt_failure::excluded) {
    item.target->load.OnWithdrawn(item.sent);
  } else {
    item.target->load.OnFailed(item.sent, now);
  }
  may_have_run_ = may_have_run_ || may_have_run;
  if (is_done_ || shards_[item.shard].is_answered) {
    return;
  }
  if (may_have_run && !route_.is_idempotent) {
    MarkLost(item.shard);
  } else {
    Retry(item.shard, may_have_run, now, actions);
  }
  FinishIfPossible(now, actions);
}

bool query_plan::Move(std::uint32_t attempt, instant now, action_list& actions) {
  attempt_state& item = attempts_[attempt];
  shard_state& shard = shards_[item.shard];
  if (!item.is_open || is_done_ || shard.is_answered) {
    return false;
  }
  // Nothing of this attempt was sent. An earlier one at the same server may have been.
  shard.asked.Withdraw(item.target.get());
  auto other = ChooseUntried(shard, now);
  if (!other) {
    other = ChooseAgain(shard, true, now);
  }
  if (!other) {
    shard.asked.Add(item.target.get());
    return false;
  }
  CloseAttempt(item);
  item.target->load.OnWithdrawn(item.sent);
  --shard.sends;
  SendTo(item.shard, std::move(other), send_reason::moved, now, actions);
  return true;
}

void query_plan::OnCancelled(std::uint32_t attempt, instant now) {
  attempt_state& item = attempts_[attempt];
  if (item.is_open) {
    CloseAttempt(item);
    item.target->load.OnCancelled(item.sent, now, choice_options_.typical_latency);
  }
}

void query_plan::Retry(std::size_t shard_index,
                       bool reached_server,
                       instant now,
                       action_list& actions) {
  shard_state& shard = shards_[shard_index];
  if (may_retry_ && shard.sends < kMaxSendsPerShard && now < deadline_) {
    // A request that never reached a server adds no load when it is sent again, so that it needs no
    // retry budget.
    const bool is_allowed =
        !reached_server || FindBudget(shard).TakeRetry(state_.budget_limits, now);
    if (is_allowed && Send(shard_index, send_reason::retry, now, actions)) {
      ++retries_;
      return;
    }
    budget_refusals_ += is_allowed ? 0 : 1;
  }
  if (shard.open_attempts == 0) {
    MarkLost(shard_index);
  }
}

void query_plan::Hedge(std::size_t shard_index, instant now, action_list& actions) {
  shard_state& shard = shards_[shard_index];
  shard.is_hedged = true;
  if (!may_retry_) {
    return;
  }
  const auto target = ChooseUntried(shard, now);
  // Don't spend the retry budget on a server that is not expected to answer in time either, nor
  // the requests of a server that is cold or in need on a second answer.
  if (!target || target->limit.IsNamed() || target->warm_up.IsLimiting(now) ||
      now + ExpectedLatency(*target, choice_options_, now) > answer_by_) {
    return;
  }
  if (!FindBudget(shard).TakeHedge(state_.budget_limits, now)) {
    ++budget_refusals_;
    return;
  }
  if (Send(shard_index, send_reason::hedge, now, actions)) {
    ++hedges_;
  }
}

void query_plan::RecordAnswer(std::size_t shard_index, replica_reply reply) {
  shard_state& shard = shards_[shard_index];
  shard.is_answered = true;
  if (shard.is_lost) {
    shard.is_lost = false;
    --lost_;
  }
  ++answered_;
  parts_.push_back(std::move(reply));
}

void query_plan::MarkLost(std::size_t shard_index) {
  shard_state& shard = shards_[shard_index];
  if (!shard.is_lost) {
    shard.is_lost = true;
    ++lost_;
  }
}

void query_plan::FinishIfPossible(instant now, action_list& actions) {
  if (is_done_) {
    return;
  }
  const int count = static_cast<int>(shards_.size());
  const int needed = NeededParts();
  const bool is_settled = answered_ + lost_ == count;
  if (answered_ >= needed && (is_settled || now >= answer_by_)) {
    Finish(actions);
  } else if (count - lost_ < needed) {
    Fail(errc::backend_error, "too many shards have no answer", now, actions);
  } else if (now >= deadline_) {
    Fail(errc::deadline_exceeded, "the deadline has passed", now, actions);
  }
}

void query_plan::EndQuery(action_list& actions) {
  is_done_ = true;
  for (std::uint32_t i = 0; i < attempts_.size(); ++i) {
    if (attempts_[i].is_open) {
      actions.push_back({.kind = query_action::kind_type::abandon, .attempt = i});
    }
  }
  actions.push_back({.kind = query_action::kind_type::finish});
}

void query_plan::Finish(action_list& actions) {
  outcome_.result = Ran();
  if (route_.IsSharded()) {
    outcome_.parts = std::move(parts_);
    outcome_.missing_shards = static_cast<int>(shards_.size()) - answered_;
  } else {
    outcome_.reply = std::move(parts_.front());
  }
  EndQuery(actions);
}

bool query_plan::MayHaveBeenRun() const {
  for (std::uint32_t i = 0; i < attempts_.size() && !may_have_run_; ++i) {
    if (attempts_[i].is_open && (!was_sent_ || was_sent_(i))) {
      return true;
    }
  }
  return may_have_run_;
}

void query_plan::Fail(errc reason, std::string detail, instant now, action_list& actions) {
  if (MayHaveBeenRun()) {
    outcome_.result = MayHaveRun(reason, std::move(detail));
  } else {
    outcome_.result = NotRun(reason, std::move(detail));
    const auto next = NextPossibleStart(now);
    outcome_.retry_after = next ? std::min(*next - now, kMaxLimitRetryAfter) : duration::zero();
  }
  outcome_.reply = std::move(last_failure_);
  EndQuery(actions);
}

void query_plan::OnTimer(instant now, action_list& actions) {
  if (is_done_) {
    return;
  }
  if (route_.is_idempotent) {
    for (std::size_t i = 0; i < shards_.size(); ++i) {
      const shard_state& shard = shards_[i];
      if (!shard.is_answered && !shard.is_lost && !shard.is_hedged && shard.hedge_at <= now) {
        Hedge(i, now, actions);
      }
    }
  }
  FinishIfPossible(now, actions);
}

void query_plan::OnHostStopping(instant now, action_list& actions) {
  if (is_done_) {
    return;
  }
  if (answered_ >= NeededParts()) {
    Finish(actions);
  } else {
    Fail(errc::deadline_exceeded, "this host stops", now, actions);
  }
}

std::optional<instant> query_plan::NextTimer() const {
  if (is_done_) {
    return std::nullopt;
  }
  instant next = deadline_;
  if (route_.is_idempotent) {
    for (const shard_state& shard : shards_) {
      if (!shard.is_answered && !shard.is_lost && !shard.is_hedged) {
        next = std::min(next, shard.hedge_at);
      }
    }
  }
  if (answered_ >= NeededParts()) {
    next = std::min(next, answer_by_);
  }
  return next;
}

}  // namespace limpetlever
