#include "query/query_plan.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/random_source.h"
#include "config/route_table.h"
#include "query/query_state.h"
#include "replicas/replica_record.h"
#include "replicas/replica_registry.h"

namespace limpetlever {

namespace {

// An attempt that lasts this many times the median is a straggler: with the spread of work that
// the services state (0.35 to 0.5 of the mean) about 5 in 100 attempts last longer.
constexpr double kHedgeMedians = 2.0;
constexpr duration kLeastHedgeDelay = std::chrono::milliseconds(3);
// Until a route's latency is known its median is taken for this part of the target.
constexpr double kAssumedMedianShare = 0.25;
// A hedge must be able to finish in time: it leaves this many medians until the target.
constexpr double kMediansAfterHedge = 2.0;
// Time between an answer's decision and its arrival at the caller: the way there and back (1 ms
// each), and the work of reading and writing on a host with a sixth of a core.
constexpr duration kReplyTime = std::chrono::milliseconds(15);
// Spread of the order in which late shards are left out, so that queries leave out different ones.
constexpr double kRankNoise = 1.0;
// Part of the target that a near server may be slower than a far one.
constexpr double kFarPenaltyShare = 0.15;
// Round trip to another data centre of the region, about 2 ms, and some margin.
constexpr duration kLeastFarPenalty = std::chrono::milliseconds(3);
// The most times one shard is asked, refusals by servers included.
constexpr int kMostSends = 4;

int HttpStatusClass(int status) {
  return status / 100;
}

}  // namespace

query_plan::query_plan(std::shared_ptr<const route_table> table,
                       const route& path,
                       query_state& state,
                       instant started,
                       instant deadline)
    : table_(std::move(table)),
      path_(path),
      state_(state),
      started_(started),
      deadline_(deadline),
      answer_by_(std::min(started + path.target_latency, deadline) - kReplyTime) {
  ChooseServices();
  const auto known = state_.latencies[path_.name].Median();
  terms_.usual = known.value_or(
      std::chrono::duration_cast<duration>(path_.target_latency * kAssumedMedianShare));
  const auto wanted = std::chrono::duration_cast<duration>(terms_.usual * kHedgeMedians);
  const auto latest = std::chrono::duration_cast<duration>(path_.target_latency - kReplyTime -
                                                           terms_.usual * kMediansAfterHedge);
  terms_.far_penalty =
      std::max(kLeastFarPenalty,
               std::chrono::duration_cast<duration>(path_.target_latency * kFarPenaltyShare));
  terms_.stall_limit = std::max(kLeastHedgeDelay, std::min(wanted, latest));
}

std::int64_t query_plan::config_version() const {
  return table_->version();
}

void query_plan::ChooseServices() {
  if (path_.IsOverShards()) {
    shards_.reserve(path_.shards.size());
    for (const std::string& service : path_.shards) {
      shards_.push_back({.service = service});
    }
    attempts_.reserve(path_.shards.size() * 2);
    return;
  }
  double total = 0.0;
  for (const weighted_service& part : path_.services) {
    total += part.weight;
  }
  double point = state_.random.Unit() * total;
  for (const weighted_service& part : path_.services) {
    point -= part.weight;
    if (point < 0.0 || &part == &path_.services.back()) {
      shards_.push_back({.service = part.service});
      return;
    }
  }
}

retry_budget& query_plan::BudgetOf(const shard_state& shard) {
  return state_.budgets[shard.service];
}

int query_plan::NeededParts() const {
  const auto count = static_cast<double>(shards_.size());
  // The margin keeps a ratio such as 0.95 of 20 from being rounded up to 20.
  const int needed = static_cast<int>(std::ceil(count * path_.min_shard_ratio - 1e-9));
  return path_.IsOverShards() ? std::max(1, needed) : 1;
}

bool query_plan::HasUsableReplica(const shard_state& shard) const {
  const auto& records = state_.replicas.OfService(shard.service);
  return std::any_of(records.begin(), records.end(),
                     [](const auto& record) { return record->is_usable; });
}

void query_plan::Start(instant now, action_list& actions) {
  int possible = 0;
  for (const shard_state& shard : shards_) {
    BudgetOf(shard).OnRequest(state_.terms, now);
    possible += HasUsableReplica(shard) ? 1 : 0;
  }
  if (possible < NeededParts()) {
    Fail(errc::no_replica, "too few shards have a usable backend server", actions);
    return;
  }
  OmitLateShards(possible, now);
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    if (!shards_[shard].is_lost && !Send(shard, send_reason::first, now, actions)) {
      MarkLost(shard);
    }
  }
  FinishIfPossible(now, actions);
}

duration query_plan::ExpectedLatencyOf(const shard_state& shard, instant now) const {
  // A server that stands still for a moment answers what it was sent when it goes on.
  choice_terms terms = terms_;
  terms.stall_limit = duration::max();
  duration least = duration::max();
  for (const auto& record : state_.replicas.OfService(shard.service)) {
    if (record->is_usable) {
      least = std::min(least, ExpectedLatency(*record, terms, now));
    }
  }
  return least;
}

void query_plan::OmitLateShards(int possible, instant now) {
  // All queries together overload a slow shard, and then it is late for each of them. When every
  // query leaves out as many late shards as its answer may lack, and not the same ones, those that
  // are asked can answer in time.
  int allowance = possible - NeededParts();
  if (allowance <= 0) {
    return;
  }
  struct late_shard {
    double rank = 0.0;
    std::size_t shard = 0;
  };
  std::vector<late_shard> late;
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    if (!HasUsableReplica(shards_[i])) {
      continue;
    }
    const duration expected = ExpectedLatencyOf(shards_[i], now);
    if (now + expected > answer_by_) {
      const double noise = 1.0 - kRankNoise / 2 + kRankNoise * state_.random.Unit();
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
    ++omitted_;
  }
}

std::shared_ptr<replica_record> query_plan::ChooseTarget(const shard_state& shard, instant now) {
  if (static_cast<int>(shard.tried.size()) < path_.max_attempts) {
    if (auto fresh = ChooseReplica(state_.replicas, shard.service, shard.tried, terms_,
                                   state_.random, now)) {
      return fresh;
    }
  }
  // All that may be asked were asked: one of them may be asked again once it has refused or failed.
  std::vector<const replica_record*> excluded;
  for (const auto& record : state_.replicas.OfService(shard.service)) {
    const bool was_tried =
        std::find(shard.tried.begin(), shard.tried.end(), record.get()) != shard.tried.end();
    const bool is_open = std::any_of(
        attempts_.begin(), attempts_.end(),
        [&record](const attempt_state& item) { return item.is_open && item.target == record; });
    if (!was_tried || is_open) {
      excluded.push_back(record.get());
    }
  }
  return ChooseReplica(state_.replicas, shard.service, excluded, terms_, state_.random, now);
}

bool query_plan::Send(std::size_t shard_index,
                      send_reason reason,
                      instant now,
                      action_list& actions) {
  shard_state& shard = shards_[shard_index];
  auto target = ChooseTarget(shard, now);
  if (!target) {
    return false;
  }
  if (std::find(shard.tried.begin(), shard.tried.end(), target.get()) == shard.tried.end()) {
    shard.tried.push_back(target.get());
  }
  ++shard.sends;
  ++shard.open_attempts;
  shard.hedge_at = now + terms_.stall_limit;
  const auto attempt = static_cast<std::uint32_t>(attempts_.size());
  attempts_.push_back({.shard = shard_index, .target = target, .sent = now});
  target->load.OnSent(now);
  far_attempts_ += target->is_near ? 0 : 1;
  actions.push_back({.kind = query_action::kind_type::send,
                     .attempt = attempt,
                     .reason = reason,
                     .target = std::move(target)});
  return true;
}

void query_plan::Close(attempt_state& item) {
  item.is_open = false;
  --shards_[item.shard].open_attempts;
}

void query_plan::OnReply(std::uint32_t attempt,
                         replica_reply reply,
                         instant now,
                         action_list& actions) {
  attempt_state& item = attempts_[attempt];
  if (!item.is_open) {
    return;
  }
  Close(item);
  replica_record& record = *item.target;
  if (reply.load) {
    record.load.OnReport(*reply.load, now);
  }
  const bool is_success = HttpStatusClass(reply.status) == 2 && !reply.signature.empty();
  if (is_success) {
    record.load.OnAnswered(item.sent, now, terms_.usual);
    state_.latencies[path_.name].Add(now - item.sent);
  } else {
    record.load.OnFailed(item.sent, now);
  }
  if (reply.is_misdirected) {
    record.is_usable = false;
  }
  may_have_run_ = may_have_run_ || !reply.is_not_run;
  shard_state& shard = shards_[item.shard];
  if (is_done_ || shard.is_answered) {
    return;
  }
  // Of a request that may run only once, the server's own failure is the answer.
  const bool is_answer = is_success || !(reply.is_not_run || path_.is_idempotent);
  if (is_answer) {
    TakePart(item.shard, std::move(reply));
  } else {
    if (!path_.IsOverShards() && !reply.is_not_run) {
      last_refusal_ = std::move(reply);
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
  Close(item);
  item.target->load.OnFailed(item.sent, now);
  const bool may_have_run = MayHaveRun(failure);
  may_have_run_ = may_have_run_ || may_have_run;
  if (is_done_ || shards_[item.shard].is_answered) {
    return;
  }
  if (may_have_run && !path_.is_idempotent) {
    MarkLost(item.shard);
  } else {
    Retry(item.shard, may_have_run, now, actions);
  }
  FinishIfPossible(now, actions);
}

void query_plan::OnCancelled(std::uint32_t attempt, instant now) {
  attempt_state& item = attempts_[attempt];
  if (item.is_open) {
    Close(item);
    item.target->load.OnCancelled(item.sent, now, terms_.usual);
  }
}

void query_plan::Retry(std::size_t shard_index,
                       bool has_arrived,
                       instant now,
                       action_list& actions) {
  shard_state& shard = shards_[shard_index];
  if (shard.sends < kMostSends && now < deadline_) {
    // A request that never reached a server costs the servers nothing when it is sent again.
    const bool is_allowed = !has_arrived || BudgetOf(shard).TakeRetry(state_.terms, now);
    if (is_allowed && Send(shard_index, send_reason::retry, now, actions)) {
      ++retries_;
      return;
    }
    refused_extras_ += is_allowed ? 0 : 1;
  }
  if (shard.open_attempts == 0) {
    MarkLost(shard_index);
  }
}

void query_plan::Hedge(std::size_t shard_index, instant now, action_list& actions) {
  shard_state& shard = shards_[shard_index];
  shard.is_hedged = true;
  if (static_cast<int>(shard.tried.size()) >= path_.max_attempts) {
    return;
  }
  const auto target =
      ChooseReplica(state_.replicas, shard.service, shard.tried, terms_, state_.random, now);
  // A second server that is slow or full as well would not answer in time either.
  if (!target || now + ExpectedLatency(*target, terms_, now) > answer_by_) {
    return;
  }
  if (!BudgetOf(shard).TakeHedge(state_.terms, now)) {
    ++refused_extras_;
    return;
  }
  if (Send(shard_index, send_reason::hedge, now, actions)) {
    ++hedges_;
  }
}

void query_plan::TakePart(std::size_t shard_index, replica_reply reply) {
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
    Fail(errc::backend_error, "too many shards have no answer", actions);
  } else if (now >= deadline_) {
    Fail(errc::deadline_exceeded, "the deadline has passed", actions);
  }
}

void query_plan::End(action_list& actions) {
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
  if (path_.IsOverShards()) {
    outcome_.parts = std::move(parts_);
    outcome_.missing_parts = static_cast<int>(shards_.size()) - answered_;
  } else {
    outcome_.reply = std::move(parts_.front());
  }
  End(actions);
}

void query_plan::Fail(errc reason, std::string detail, action_list& actions) {
  const bool is_open = std::any_of(attempts_.begin(), attempts_.end(),
                                   [](const attempt_state& item) { return item.is_open; });
  if (may_have_run_ || is_open) {
    outcome_.result = MayHaveRun(reason, std::move(detail));
  } else {
    outcome_.result = NotRun(reason, std::move(detail));
  }
  outcome_.reply = std::move(last_refusal_);
  End(actions);
}

void query_plan::OnTimer(instant now, action_list& actions) {
  if (is_done_) {
    return;
  }
  if (path_.is_idempotent) {
    for (std::size_t i = 0; i < shards_.size(); ++i) {
      const shard_state& shard = shards_[i];
      if (!shard.is_answered && !shard.is_lost && !shard.is_hedged && shard.hedge_at <= now) {
        Hedge(i, now, actions);
      }
    }
  }
  FinishIfPossible(now, actions);
}

std::optional<instant> query_plan::NextTimer() const {
  if (is_done_) {
    return std::nullopt;
  }
  instant next = deadline_;
  if (path_.is_idempotent) {
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
