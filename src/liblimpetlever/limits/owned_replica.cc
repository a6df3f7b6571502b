#include "limits/owned_replica.h"

#include <algorithm>
#include <utility>

#include "base/errc.h"

namespace limpetlever {

namespace {

// With 2 slots and 20 ms per answer the last of 64 attempts waits 640 ms, more than the time limit
// of a query at the design target. A longer queue would only hold attempts that expire in it.
constexpr std::size_t kMaxWaiting = 64;
// A status poll or an answer reveals a restarted server within this time after its connections were
// reset. Attempts that were lost earlier are not suspected of the crash.
constexpr duration kCrashSuspicionWindow = std::chrono::seconds(10);
// Bounds the memory for a server that keeps resetting connections.
constexpr std::size_t kMaxLostAttempts = 512;

}  // namespace

owned_replica::owned_replica(std::string address, int slots)
    : address_(std::move(address)), limiter_(slots), queue_(kMaxWaiting) {}

replica_decision owned_replica::Offer(attempt_request attempt, instant now) {
  replica_decision decision;
  if (draining()) {
    decision.refuse.push_back({std::move(attempt), NotRun(errc::replica_draining)});
    return decision;
  }
  queue_.Push(std::move(attempt), now, cold() ? errc::replica_cold : errc::replica_full,
              decision.refuse);
  StartWaiting(now, decision);
  return decision;
}

replica_decision owned_replica::OnFinished(const attempt_id& id,
                                           const verdict& outcome,
                                           duration elapsed,
                                           instant now) {
  replica_decision decision;
  const auto found = running_.find(id);
  if (found == running_.end()) {
    return decision;
  }
  const bool was_limited = in_flight() >= limit();
  const std::uint64_t fingerprint = found->second;
  running_.erase(found);
  if (outcome.state == run_state::ran) {
    limiter_.OnSuccess(elapsed, was_limited, now);
  } else if (outcome.error == errc::shed || (outcome.error == errc::backend_error && cold())) {
    // An overloaded cold server may fail requests instead of shedding them. On a warm server a
    // failure is attributed to the request.
    limiter_.OnShed(elapsed, now);
  } else if (outcome.error == errc::deadline_exceeded) {
    limiter_.OnNoAnswer(elapsed, now);
  } else if (outcome.error == errc::connection_lost) {
    ExpireLost(now);
    lost_attempts_.push_back({fingerprint, now});
    if (crashed_at_ && now - elapsed < *crashed_at_) {
      // It ran on the previous instance, whose crash has already been recorded.
      RecordCrash(*crashed_at_);
    }
    limiter_.OnConnectionReset(now);
  } else if (outcome.error == errc::connection_failed) {
    OnConnectionRefused(now);
  }
  StartWaiting(now, decision);
  return decision;
}

void owned_replica::OnConnectionRefused(instant now) {
  limiter_.OnConnectionReset(now);
  if (!lost_attempts_.empty()) {
    RecordCrash(now);
  }
}

void owned_replica::OnInstanceId(const std::string& instance_id, instant now) {
  if (limiter_.OnInstanceId(instance_id, now)) {
    RecordCrash(now);
  }
}

void owned_replica::ExpireLost(instant now) {
  while (!lost_attempts_.empty() && (lost_attempts_.size() >= kMaxLostAttempts ||
                                     now - lost_attempts_.front().at > kCrashSuspicionWindow)) {
    lost_attempts_.pop_front();
  }
}

void owned_replica::RecordCrash(instant now) {
  crashed_at_ = now;
  ExpireLost(now);
  for (const lost_attempt& item : lost_attempts_) {
    suspects_.push_back(item.fingerprint);
  }
  lost_attempts_.clear();
  std::sort(suspects_.begin(), suspects_.end());
  suspects_.erase(std::unique(suspects_.begin(), suspects_.end()), suspects_.end());
  if (suspects_.size() > kMaxLostAttempts) {
    suspects_.resize(kMaxLostAttempts);
  }
}

std::vector<std::uint64_t> owned_replica::TakeCrashSuspects() {
  return std::exchange(suspects_, {});
}

replica_decision owned_replica::RefuseLate(instant now) {
  replica_decision decision;
  StartWaiting(now, decision);
  queue_.RefuseLate(now, limiter_.expected_latency(), decision.refuse);
  return decision;
}

replica_decision owned_replica::Drain() {
  replica_decision decision;
  limiter_.OnDraining();
  queue_.Clear(errc::replica_draining, decision.refuse);
  return decision;
}

void owned_replica::Resume(instant now) {
  limiter_.OnReturned(now);
}

bool owned_replica::Cancel(const attempt_id& id) {
  return queue_.Remove(id);
}

void owned_replica::StartWaiting(instant now, replica_decision& decision) {
  while (!draining() && in_flight() < limit()) {
    // While nothing runs, one attempt is started even if it is expected to be late. Without any
    // answers the latency estimate of a server that has become faster would never be corrected.
    const duration min_time_left =
        running_.empty() ? duration::zero() : limiter_.expected_latency();
    auto next = queue_.Pop(now, min_time_left, decision.refuse);
    if (!next) {
      return;
    }
    running_.emplace(next->id, next->fingerprint);
    decision.start.push_back(std::move(*next));
  }
}

}  // namespace limpetlever
