#include "node/replica_pool.h"

#include <algorithm>
#include <utility>

#include "net/event_loop.h"
#include "node/node_metrics.h"
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

}  // namespace

replica_pool::replica_pool(event_loop& loop,
                           node_metrics& metrics,
                           std::shared_ptr<replica_record> target,
                           const std::function<void(const std::string&)>& on_refused,
                           std::shared_ptr<receive_memory> memory)
    : loop_(loop),
      metrics_(metrics),
      target_(std::move(target)),
      on_refused_(on_refused),
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

void replica_pool::MoveWaiting() {
  const waiting_decision decision = DecideWaiting(*target_, loop_.Now());
  const bool must_leave = decision == waiting_decision::leave;
  if (waiting_.empty() || decision == waiting_decision::stay ||
      (!must_leave && loop_.Now() < next_move_)) {
    return;
  }
  next_move_ = loop_.Now() + kMovePeriod;
  std::deque<std::shared_ptr<replica_attempt>> kept;
  for (const auto& attempt : std::exchange(waiting_, {})) {
    // Functions of the attempts before it may have cancelled it.
    if (attempt->is_cancelled || attempt->on_excluded()) {
      continue;
    }
    if (must_leave) {
      attempt->on_failure(attempt_failure::excluded);
    } else {
      kept.push_back(attempt);
    }
  }
  std::erase_if(kept, [](const auto& attempt) { return attempt->is_cancelled; });
  waiting_.insert(waiting_.begin(), kept.begin(), kept.end());
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
  target_->load.OnReachable();
  FailLost();
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
    target_->load.OnUnreachable(loop_.Now());
    if (on_refused_) {
      on_refused_(target_->registered.id);
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
    target_->load.OnUnreachable(now);
    FailLost();
    FailWaiting(connections_.size());
  }
  ProbeIfUnreachable();
  AssignAttempts();
}

}  // namespace limpetlever
