#include "routing/fan_out.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/errc.h"
#include "routing/replica_selector.h"
#include "routing/routing_snapshot.h"
#include "routing/service_records.h"

namespace limpetlever {

namespace {

// An attempt that has been open for this many hedge delays is a straggler rather than one of the
// ordinary slowest 5%, and may use the last hedge of the budget.
constexpr double kStragglerAgeFactor = 1.5;
// Limits the timer rate of a query whose service answers within microseconds.
constexpr duration kMinRecheckInterval = std::chrono::microseconds(500);

constexpr std::size_t kLostServersToStopRetries = 2;

}  // namespace

fan_out::fan_out(query_request request,
                 std::shared_ptr<const partition_map> map,
                 replica_selector& selector,
                 service_records& services)
    : request_(std::move(request)),
      map_(std::move(map)),
      selector_(selector),
      services_(services) {}

std::vector<fan_out_action> fan_out::Start(instant now) {
  started_ = now;
  deadline_ = now + request_.time_limit;
  std::vector<fan_out_action> actions;
  if (request_.time_limit <= duration::zero()) {
    shards_.resize(map_->shards.size());
    last_error_ = errc::deadline_exceeded;
    Finish(now, "deadline", actions);
    return actions;
  }
  StartShards(now, actions);
  return actions;
}

void fan_out::StartShards(instant now, std::vector<fan_out_action>& actions) {
  shards_.assign(map_->shards.size(), {});
  hedge_checks_.clear();
  answered_ = 0;
  settled_ = 0;
  early_finish_from_ = now;
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    const candidate* replica =
        selector_.Choose(map_->shards[shard], {}, attempt_purpose::first, now);
    if (replica == nullptr) {
      shards_[shard].reason = "no_replica";
      MarkSettled(shard);
      continue;
    }
    service_record& service = services_.FindOrCreate(replica->service);
    // Attempts after a restart earn no budget; otherwise each version change would fund retries.
    if (!restarted_) {
      service.budget.OnFirstAttempt();
    }
    early_finish_from_ =
        std::max(early_finish_from_, now + service.latency.Percentile95().value_or(duration{}));
    Send(shard, *replica, attempt_purpose::first, now, actions);
  }
  FinishIfPossible(now, actions);
}

void fan_out::Send(std::size_t shard,
                   const candidate& replica,
                   attempt_purpose purpose,
                   instant now,
                   std::vector<fan_out_action>& actions) {
  shard_state& state = shards_[shard];
  const attempt_id id{
      .query = request_.id, .shard = static_cast<std::uint32_t>(shard), .ordinal = next_ordinal_++};
  state.tried.insert(replica.replica);
  state.open.emplace(
      id.ordinal,
      open_attempt{.replica = replica.replica, .service = replica.service, .sent = now});
  selector_.OnSent(replica.replica);
  ++attempts_;
  const auto hedge_delay = services_.FindOrCreate(replica.service).latency.Percentile95();
  if (request_.idempotent && hedge_delay && !state.hedged) {
    hedge_checks_.insert({.due = now + *hedge_delay, .shard = shard, .ordinal = id.ordinal});
  }
  actions.push_back({.kind = fan_out_action::action_kind::send,
                     .attempt = {.id = id,
                                 .replica = replica.replica,
                                 .workload = request_.workload,
                                 .snapshot_version = map_->version,
                                 .body = request_.body,
                                 .time_limit = deadline_ - now,
                                 .urgent = request_.urgent,
                                 .fingerprint = request_.fingerprint,
                                 .key = {}},
                     .purpose = purpose});
}

std::vector<fan_out_action> fan_out::OnResult(const attempt_result& result, instant now) {
  std::vector<fan_out_action> actions;
  if (done_ || result.id.query != request_.id || result.id.shard >= shards_.size()) {
    ++late_results_;
    return actions;
  }
  const std::size_t shard = result.id.shard;
  shard_state& state = shards_[shard];
  const auto found = state.open.find(result.id.ordinal);
  const bool is_answer = result.outcome.state == run_state::ran;
  // An answer from another version is not the answer to this attempt, which stays open.
  if (found == state.open.end() || found->second.replica != result.replica ||
      (is_answer && result.snapshot_version != map_->version)) {
    ++late_results_;
    return actions;
  }
  const open_attempt attempt = std::move(found->second);
  state.open.erase(found);
  selector_.OnResult(result, now - attempt.sent, now);
  may_have_run_ = may_have_run_ || result.outcome.state != run_state::not_run;
  if (is_answer) {
    services_.FindOrCreate(attempt.service).latency.Add(now - attempt.sent);
    state.body = result.body;
    ++answered_;
    CancelOpen(shard, now, actions);
    MarkSettled(shard);
  } else {
    last_error_ = result.outcome.error;
    if (result.outcome.error == errc::connection_lost) {
      lost_servers_.insert(result.replica);
      lost_shards_.insert(shard);
    }
    state.reason = result.outcome.error ? result.outcome.error.message() : "failed";
    state.version_gone = state.version_gone || result.outcome.error == errc::version_gone;
    if (state.open.empty() && !TryRetry(shard, result.outcome, now, actions)) {
      MarkSettled(shard);
    }
  }
  if (!RestartIfUseful(now, actions)) {
    FinishIfPossible(now, actions);
  }
  return actions;
}

bool fan_out::TryRetry(std::size_t shard,
                       const verdict& outcome,
                       instant now,
                       std::vector<fan_out_action>& actions) {
  if (outcome.state != run_state::not_run && !request_.idempotent) {
    return false;
  }
  // The request is blocked at all replicas of the shard, but another owner may not know of the
  // block yet and would run it.
  if (outcome.error == errc::request_blocked) {
    return false;
  }
  // Two servers that close their connections in the middle of one query may have crashed because of
  // it. The crash marks that would block the query reach other owners too late to stop a retry.
  if (outcome.error == errc::connection_lost && lost_servers_.size() >= kLostServersToStopRetries) {
    return false;
  }
  const candidate* replica =
      selector_.Choose(map_->shards[shard], shards_[shard].tried, attempt_purpose::retry, now);
  if (replica == nullptr || !HasTimeLeft(replica->service, now) ||
      !services_.FindOrCreate(replica->service).budget.TakeRetry()) {
    return false;
  }
  ++retries_;
  Send(shard, *replica, attempt_purpose::retry, now, actions);
  return true;
}

void fan_out::TryHedge(const hedge_check& check,
                       instant now,
                       std::vector<fan_out_action>& actions) {
  shard_state& state = shards_[check.shard];
  const auto open = state.open.find(check.ordinal);
  if (state.hedged || open == state.open.end() || state.open.size() > 1 ||
      state.tried.size() >= map_->shards[check.shard].size()) {
    return;
  }
  service_record& service = services_.FindOrCreate(open->second.service);
  const duration delay = service.latency.Percentile95().value_or(now - open->second.sent);
  const auto straggling_from =
      open->second.sent + std::chrono::duration_cast<duration>(delay * kStragglerAgeFactor);
  const candidate* replica =
      selector_.Choose(map_->shards[check.shard], state.tried, attempt_purpose::hedge, now);
  if (replica != nullptr && HasTimeLeft(replica->service, now)) {
    extra_attempt_budget& budget = services_.FindOrCreate(replica->service).budget;
    if (now >= straggling_from ? budget.TakeHedge() : budget.TakeEarlyHedge()) {
      state.hedged = true;
      ++hedges_;
      Send(check.shard, *replica, attempt_purpose::hedge, now, actions);
      return;
    }
  }
  const instant next =
      now < straggling_from ? straggling_from : now + std::max(kMinRecheckInterval, delay / 2);
  if (next < deadline_) {
    hedge_checks_.insert({.due = next, .shard = check.shard, .ordinal = check.ordinal});
  }
}

bool fan_out::HasTimeLeft(const std::string& service, instant now) const {
  const auto median = services_.FindOrCreate(service).latency.Median();
  return now + median.value_or(duration{}) < deadline_;
}

std::vector<fan_out_action> fan_out::OnTimer(instant now) {
  std::vector<fan_out_action> actions;
  if (done_) {
    return actions;
  }
  if (now >= deadline_) {
    Finish(now, "deadline", actions);
    return actions;
  }
  while (!hedge_checks_.empty() && hedge_checks_.begin()->due <= now) {
    const hedge_check check = *hedge_checks_.begin();
    hedge_checks_.erase(hedge_checks_.begin());
    TryHedge(check, now, actions);
  }
  FinishIfPossible(now, actions);
  return actions;
}

std::optional<instant> fan_out::NextTimer() const {
  if (done_) {
    return std::nullopt;
  }
  instant next = deadline_;
  if (!hedge_checks_.empty()) {
    next = std::min(next, hedge_checks_.begin()->due);
  }
  if (answered_ >= WantedShards()) {
    next = std::min(next, early_finish_from_);
  }
  return next;
}

int fan_out::WantedShards() const {
  const double count = static_cast<double>(shards_.size());
  // The margin makes 0.7 of 10 shards 7 and not 8 despite rounding.
  constexpr double kMargin = 1e-9;
  const int wanted = static_cast<int>(std::ceil(request_.wanted_coverage * count - kMargin));
  return std::clamp(wanted, 1, std::max(1, static_cast<int>(shards_.size())));
}

void fan_out::MarkSettled(std::size_t shard) {
  shards_[shard].settled = true;
  ++settled_;
  version_gone_ = version_gone_ || (shards_[shard].version_gone && !shards_[shard].body);
}

bool fan_out::RestartIfUseful(instant now, std::vector<fan_out_action>& actions) {
  const int reachable = static_cast<int>(shards_.size()) - (settled_ - answered_);
  if (restarted_ || !version_gone_ || !snapshot_ || reachable >= WantedShards()) {
    return false;
  }
  const auto maps = snapshot_->workloads.find(request_.workload);
  if (maps == snapshot_->workloads.end()) {
    return false;
  }
  const auto other = std::ranges::find_if(maps->second, [this](const partition_map& map) {
    return map.version != map_->version && !map.shards.empty() &&
           CoveredShards(map) == static_cast<int>(map.shards.size());
  });
  if (other == maps->second.end() ||
      !std::ranges::all_of(other->shards, [this, now](const std::vector<candidate>& replicas) {
        return HasTimeLeft(replicas.front().service, now);
      })) {
    return false;
  }
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    CancelOpen(shard, now, actions);
  }
  map_ = std::shared_ptr<const partition_map>(snapshot_, &*other);
  restarted_ = true;
  StartShards(now, actions);
  return true;
}

void fan_out::FinishIfPossible(instant now, std::vector<fan_out_action>& actions) {
  if (done_) {
    return;
  }
  if (settled_ == static_cast<int>(shards_.size())) {
    Finish(now, "no_replica", actions);
  } else if (answered_ >= WantedShards() && now >= early_finish_from_) {
    Finish(now, "not_awaited", actions);
  }
}

void fan_out::Finish(instant now, const char* reason, std::vector<fan_out_action>& actions) {
  done_ = true;
  hedge_checks_.clear();
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    shard_state& state = shards_[shard];
    if (!state.settled) {
      state.reason = reason;
    }
    CancelOpen(shard, now, actions);
  }
}

void fan_out::CancelOpen(std::size_t shard, instant now, std::vector<fan_out_action>& actions) {
  for (const auto& [ordinal, open] : shards_[shard].open) {
    attempt_request attempt;
    attempt.id = {
        .query = request_.id, .shard = static_cast<std::uint32_t>(shard), .ordinal = ordinal};
    attempt.replica = open.replica;
    // The age of a cancelled attempt is a lower bound of its latency. If it were not recorded, each
    // straggler that is cancelled after its hedge answered would lower the percentile. An age below
    // the percentile carries no information.
    latency_estimator& latency = services_.FindOrCreate(open.service).latency;
    const duration age = now - open.sent;
    const bool is_slow = latency.Percentile95() && age >= *latency.Percentile95();
    if (is_slow) {
      latency.Add(age);
    }
    selector_.OnFinished(open.replica, is_slow ? age : duration::zero());
    may_have_run_ = true;
    actions.push_back({.kind = fan_out_action::action_kind::cancel, .attempt = std::move(attempt)});
  }
  shards_[shard].open.clear();
}

query_answer fan_out::Answer(instant now) const {
  query_answer answer;
  answer.snapshot_version = map_->version;
  answer.shard_count = static_cast<int>(shards_.size());
  answer.elapsed = now - started_;
  answer.attempts = attempts_;
  answer.shards_with_lost_connection = static_cast<int>(lost_shards_.size());
  answer.hedges = hedges_;
  answer.retries = retries_;
  bool has_open = false;
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    const shard_state& state = shards_[shard];
    has_open = has_open || !state.open.empty();
    if (state.body) {
      answer.answers.push_back({.shard = static_cast<int>(shard), .body = *state.body});
    } else {
      answer.missing.push_back({.shard = static_cast<int>(shard),
                                .reason = state.reason.empty() ? "deadline" : state.reason});
    }
  }
  if (!answer.answers.empty()) {
    answer.outcome = Ran();
  } else if (may_have_run_ || has_open) {
    answer.outcome =
        MayHaveRun(last_error_ ? last_error_ : errc::deadline_exceeded, "no shard answered");
  } else {
    answer.outcome =
        NotRun(last_error_ ? last_error_ : errc::no_replica,
               attempts_ == 0 ? "no attempt was sent" : "every attempt was refused before it ran");
  }
  return answer;
}

}  // namespace limpetlever
