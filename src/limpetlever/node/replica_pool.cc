#include "node/replica_pool.h"

#include <algorithm>
#include <utility>

#include "net/event_loop.h"
#include "node/node_metrics.h"
#include "node/pool_listener.h"
#include "platform/request_codec.h"
#include "replicas/admission.h"
#include "replicas/replica_record.h"

namespace limpetlever {

namespace {

// Well above the largest answer of a backend server that the users describe (18 KB).
constexpr std::size_t kMaxBodyBytes = 1024 * 1024;
// A connection whose bytes stay unacknowledged for so long is lost: a live server acknowledges
// sooner.
constexpr duration kUnacknowledgedTimeout = std::chrono::milliseconds(1000);
// A server accepts within one round trip and its handshake of 6 ms; one that takes longer than this
// counts as unreachable.
constexpr duration kConnectTimeout = std::chrono::milliseconds(250);
// All connections to a crashed server end within a round trip, which takes up to 3 ms.
constexpr duration kCrashCheckDelay = std::chrono::milliseconds(5);
// Fraction of the server's idle timeout after which this host closes a connection. Near the full
// timeout a request could be sent while the server is closing the connection.
constexpr double kIdleTimeoutFraction = 0.7;
constexpr duration kDefaultIdleTimeout = std::chrono::seconds(20);
// Attempts that wait for a server that leaves look for another one at this period. Many may wait,
// and each looks at all servers of its shard.
constexpr duration kMovePeriod = std::chrono::milliseconds(20);
// A server writes its entry every 1.2 s; a health check more often would learn little more.
constexpr duration kHealthCheckPeriod = std::chrono::seconds(1);
// A health check waits for a slot of the server like a request.
constexpr duration kHealthCheckTimeout = std::chrono::seconds(1);
// A server that does not answer health checks is not asked again for this time, since each check
// keeps a connection from requests.
constexpr duration kPauseAfterNoHealth = std::chrono::seconds(10);
// A server that is found to be cold for this much longer than it was known to be is news for other
// hosts.
constexpr duration kColdNews = std::chrono::milliseconds(200);

}  // namespace

replica_pool::replica_pool(event_loop& loop,
                           node_metrics& metrics,
                           std::shared_ptr<replica_record> target,
                           const pool_listener& listener,
                           std::shared_ptr<receive_memory> memory)
    : loop_(loop),
      metrics_(metrics),
      target_(std::move(target)),
      listener_(listener),
      memory_(std::move(memory)) {}

replica_pool::~replica_pool() {
  loop_.timers().Cancel(crash_check_);
}

void replica_pool::Send(std::shared_ptr<replica_attempt> attempt) {
  const auto position =
      std::find_if(waiting_.begin(), waiting_.end(),
                   [&attempt](const auto& other) { return other->priority > attempt->priority; });
  waiting_.insert(position, std::move(attempt));
  AssignAttempts();
}

bool replica_pool::IsIdleTooLong(const http_client& client) const {
  const duration limit =
      client.idle_timeout() > duration::zero()
          ? std::chrono::duration_cast<duration>(client.idle_timeout() * kIdleTimeoutFraction)
          : kDefaultIdleTimeout;
  return loop_.Now() - client.last_used() > limit;
}

bool replica_pool::IsFree(const pooled_connection& item) const {
  return !item.attempt && item.client->IsConnected() && item.client->IsReusable() &&
         !IsIdleTooLong(*item.client);
}

replica_pool::connection_list::iterator replica_pool::FindFree(const replica_attempt& attempt) {
  // The server is least likely to close the connection that was used most recently.
  const auto& avoided = attempt.avoided_connections;
  auto best = connections_.end();
  for (auto item = connections_.begin(); item != connections_.end(); ++item) {
    const bool is_avoided =
        std::find(avoided.begin(), avoided.end(), item->number) != avoided.end();
    if (!is_avoided && IsFree(*item) &&
        (best == connections_.end() || best->client->last_used() < item->client->last_used())) {
      best = item;
    }
  }
  return best;
}

waiting_decision replica_pool::DecideWaiting(const replica_attempt& attempt) const {
  const waiting_decision decision =
      limpetlever::DecideWaiting(*target_, attempt.waiting, loop_.Now());
  return attempt.is_health_check && IsUsable(*target_) ? waiting_decision::stay : decision;
}

void replica_pool::MoveWaiting() {
  const bool may_move = loop_.Now() >= next_move_;
  const auto is_due = [may_move](waiting_decision decision) {
    return decision == waiting_decision::leave || (decision == waiting_decision::move && may_move);
  };
  if (std::none_of(waiting_.begin(), waiting_.end(),
                   [&](const auto& attempt) { return is_due(DecideWaiting(*attempt)); })) {
    return;
  }
  next_move_ = loop_.Now() + kMovePeriod;
  std::deque<std::shared_ptr<replica_attempt>> kept;
  for (const auto& attempt : std::exchange(waiting_, {})) {
    const waiting_decision decision = DecideWaiting(*attempt);
    // Functions of the attempts before it may have cancelled it.
    if (attempt->is_cancelled || (is_due(decision) && attempt->on_excluded())) {
      continue;
    }
    if (decision == waiting_decision::leave) {
      attempt->on_failure(attempt_failure::excluded);
    } else {
      kept.push_back(attempt);
    }
  }
  std::erase_if(kept, [](const auto& attempt) { return attempt->is_cancelled; });
  waiting_.insert(waiting_.begin(), kept.begin(), kept.end());
}

void replica_pool::OnUnreachable() {
  target_->load.OnUnreachable(loop_.Now());
  target_->warm_up.OnUnreachable(loop_.Now());
}

void replica_pool::CheckHealthIfDue() {
  const instant now = loop_.Now();
  const warm_up_limit& warm_up = target_->warm_up;
  const bool is_wanted = warm_up.IsAssumed(now) || warm_up.IsFirstHost();
  if (health_check_ && now >= health_check_->deadline) {
    next_health_check_ = now + kPauseAfterNoHealth;
    Cancel(std::exchange(health_check_, nullptr));
  }
  const bool is_connected =
      std::any_of(connections_.begin(), connections_.end(),
                  [](const auto& item) { return item.client->IsConnected(); });
  if (warm_up.IsConfigured() && is_wanted && now >= next_health_check_ && is_connected &&
      IsUsable(*target_) && !health_path_.empty() && !health_check_) {
    SendHealthCheck();
  }
}

void replica_pool::SendHealthCheck() {
  next_health_check_ = loop_.Now() + kHealthCheckPeriod;
  auto check = std::make_shared<replica_attempt>();
  check->target = target_;
  check->write_request = [this](duration) {
    return platform::WriteHealthCheck(target_->registered, health_path_);
  };
  check->deadline = loop_.Now() + kHealthCheckTimeout;
  check->waiting.chosen = loop_.Now();
  check->is_health_check = true;
  check->on_response = [this](http_message& response) { return OnHealth(response); };
  check->on_lost = [] {};
  check->on_failure = [this](attempt_failure) { health_check_ = nullptr; };
  check->on_excluded = [this] {
    health_check_ = nullptr;
    return true;
  };
  metrics_.OnHealthCheck();
  health_check_ = check;
  // It goes before the requests, which depend on its answer.
  waiting_.push_front(std::move(check));
}

bool replica_pool::OnHealth(const http_message& response) {
  const auto health = platform::ParseHealth(response);
  if (!health) {
    return false;
  }
  health_check_ = nullptr;
  const bool is_other = !health->id.empty() && health->id != target_->registered.id;
  if (is_other || health->is_rejected) {
    return true;
  }
  const instant now = loop_.Now();
  warm_up_limit& warm_up = target_->warm_up;
  warm_up.OnChecked(now);
  if (health->cold_left) {
    const instant cold_until = now + *health->cold_left;
    const bool is_news =
        *health->cold_left > duration::zero() && cold_until > warm_up.cold_until() + kColdNews;
    if (is_news && listener_.on_cold) {
      listener_.on_cold(target_->registered.id, *health->cold_left);
    }
    warm_up.OnColdUntil(cold_until, now);
  }
  return true;
}

bool replica_pool::IsExpired(const replica_attempt& attempt) const {
  return loop_.Now() >= attempt.deadline;
}

void replica_pool::MakeRoomForAvoiding() {
  if (waiting_.empty() || connections_.size() < max_connections_) {
    return;
  }
  const auto item = std::find_if(connections_.begin(), connections_.end(),
                                 [this](const auto& held) { return IsFree(held); });
  if (item != connections_.end()) {
    CloseConnection(item);
  }
}

void replica_pool::AssignAttempts() {
  MoveWaiting();
  for (std::size_t i = 0; i < waiting_.size();) {
    if (IsExpired(*waiting_[i])) {
      ++i;
      continue;
    }
    const auto free = FindFree(*waiting_[i]);
    if (free != connections_.end()) {
      auto attempt = std::move(waiting_[i]);
      waiting_.erase(waiting_.begin() + static_cast<std::ptrdiff_t>(i));
      SendOn(*free, std::move(attempt));
    } else if (waiting_[i]->avoided_connections.empty()) {
      break;
    } else {
      ++i;
    }
  }
  MakeRoomForAvoiding();
  const auto opening = static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& item) { return !item.client->IsConnected(); }));
  const auto sendable = static_cast<std::size_t>(
      std::count_if(waiting_.begin(), waiting_.end(),
                    [this](const auto& attempt) { return !IsExpired(*attempt); }));
  for (std::size_t i = opening; i < sendable && connections_.size() < max_connections_; ++i) {
    OpenConnection();
  }
}

void replica_pool::SendOn(pooled_connection& item, std::shared_ptr<replica_attempt> attempt) {
  attempt->connection = item.client.get();
  attempt->connection_number = item.number;
  item.attempt = std::move(attempt);
  const duration time_left = item.attempt->deadline - loop_.Now();
  item.client->Send(item.attempt->write_request(time_left), item.attempt->is_head);
}

void replica_pool::OpenConnection() {
  metrics_.OnConnectionOpened();
  connections_.push_back(
      {.client = std::make_unique<http_client>(loop_, target_->registered.address, kMaxBodyBytes,
                                               kUnacknowledgedTimeout, *this, memory_),
       .attempt = nullptr,
       .opened = loop_.Now(),
       .number = next_connection_number_++});
}

replica_pool::connection_list::iterator replica_pool::Find(const http_client& client) {
  return std::find_if(connections_.begin(), connections_.end(),
                      [&client](const auto& item) { return item.client.get() == &client; });
}

void replica_pool::CloseConnection(connection_list::iterator item) {
  // The connection may be on the call stack, so it is destroyed after the current batch of work.
  loop_.Defer([held = std::shared_ptr<http_client>(std::move(item->client))] {});
  connections_.erase(item);
}

void replica_pool::OnConnected(http_client&) {
  if (target_->load.IsUnreachable()) {
    // The process that answers may have started just now.
    target_->warm_up.OnUnreachable(loop_.Now());
  }
  target_->load.OnReachable();
  FailLost();
  CheckHealthIfDue();
  AssignAttempts();
}

bool replica_pool::OnResponse(http_client& client, http_message& response) {
  const auto item = Find(client);
  if (item == connections_.end() || !item->attempt) {
    return true;
  }
  const auto attempt = item->attempt;
  if (!attempt->on_response(response)) {
    return false;
  }
  // The attempt's handler may have sent another attempt, which changes `connections_`.
  if (const auto again = Find(client); again != connections_.end()) {
    again->attempt = nullptr;
    if (!client.IsReusable()) {
      CloseConnection(again);
    }
  }
  AssignAttempts();
  return true;
}

void replica_pool::OnEnded(http_client& client, http_client::end_reason reason) {
  const auto item = Find(client);
  if (item == connections_.end()) {
    return;
  }
  const auto attempt = std::exchange(item->attempt, nullptr);
  CloseConnection(item);
  if (attempt && reason == http_client::end_reason::malformed) {
    attempt->on_failure(attempt_failure::malformed_answer);
  } else if (attempt) {
    attempt->on_lost();
    lost_.push_back(attempt);
  }
  if (reason == http_client::end_reason::not_connected) {
    OnUnreachable();
    if (listener_.on_refused) {
      listener_.on_refused(target_->registered);
    }
    FailLost();
    FailWaiting(connections_.size());
  }
  if (!lost_.empty()) {
    CheckForCrash();
  }
  AssignAttempts();
}

void replica_pool::CheckForCrash() {
  if (!IsUsable(*target_)) {
    FailLost();
  } else if (connections_.empty()) {
    // Refused if the server has crashed; if not, the connection serves the next attempt.
    OpenConnection();
  } else if (crash_check_ == 0) {
    crash_check_ = loop_.timers().Subscribe(loop_.Now() + kCrashCheckDelay, [this](instant) {
      crash_check_ = 0;
      const bool is_open = std::any_of(connections_.begin(), connections_.end(),
                                       [](const auto& item) { return item.client->IsConnected(); });
      if (is_open) {
        FailLost();
      }
    });
  }
}

void replica_pool::FailLost() {
  for (const auto& attempt : std::exchange(lost_, {})) {
    if (!attempt->is_cancelled) {
      attempt->on_failure(attempt_failure::connection_lost);
    }
  }
}

void replica_pool::ProbeIfUnreachable() {
  // A connection without a request shows when the server is reachable again, so that no caller's
  // request is risked on it.
  const bool is_wanted = IsUsable(*target_) && target_->load.IsUnreachable();
  if (is_wanted && connections_.empty() && target_->load.IsRetryDue(loop_.Now())) {
    OpenConnection();
  }
}

void replica_pool::FailWaiting(std::size_t keep) {
  while (waiting_.size() > keep) {
    const auto attempt = std::move(waiting_.back());
    waiting_.pop_back();
    attempt->on_failure(attempt_failure::not_connected);
  }
}

void replica_pool::Cancel(const std::shared_ptr<replica_attempt>& attempt) {
  attempt->is_cancelled = true;
  if (const auto position = std::find(waiting_.begin(), waiting_.end(), attempt);
      position != waiting_.end()) {
    waiting_.erase(position);
    return;
  }
  std::erase(lost_, attempt);
  const auto item = std::find_if(connections_.begin(), connections_.end(),
                                 [&attempt](const auto& held) { return held.attempt == attempt; });
  if (item != connections_.end()) {
    CloseConnection(item);
    AssignAttempts();
  }
}

bool replica_pool::IsEmpty() const {
  const bool is_probed = IsUsable(*target_) && target_->load.IsUnreachable();
  return connections_.empty() && waiting_.empty() && lost_.empty() && !is_probed;
}

void replica_pool::Sweep() {
  const instant now = loop_.Now();
  std::size_t timed_out = 0;
  for (std::size_t i = connections_.size(); i > 0; --i) {
    const auto item = connections_.begin() + static_cast<std::ptrdiff_t>(i - 1);
    const bool has_timed_out = !item->client->IsConnected() && now - item->opened > kConnectTimeout;
    const bool is_idle =
        item->client->IsConnected() && !item->attempt &&
        (!keeps_connections_ || IsIdleTooLong(*item->client) || !IsUsable(*target_));
    timed_out += has_timed_out ? 1 : 0;
    if (has_timed_out || is_idle) {
      CloseConnection(item);
    }
  }
  if (timed_out > 0) {
    OnUnreachable();
    FailLost();
    FailWaiting(connections_.size());
  }
  ProbeIfUnreachable();
  CheckHealthIfDue();
  AssignAttempts();
}

}  // namespace limpetlever
