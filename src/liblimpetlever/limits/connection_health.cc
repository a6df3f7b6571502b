#include "limits/connection_health.h"

#include <algorithm>

#include "chart/state_chart.h"

namespace limpetlever {

namespace {

// Design page: the progress limit is 4 times p99, at least 200 ms; idle connections are closed
// after 15 s.
constexpr int kProgressFactor = 4;
constexpr duration kMinProgressLimit = std::chrono::milliseconds(200);
constexpr duration kMaxIdleTime = std::chrono::seconds(15);
// Enough samples for a 99th percentile, which is recomputed after every 64, as it changes slowly.
constexpr std::size_t kMaxLatencies = 512;
constexpr std::size_t kPercentileInterval = 64;
constexpr std::size_t kPercentile = 99;

const std::string& ClosedState() {
  static const auto* closed = [] {
    auto* state = new chart_state(EmbeddedChart("connection"));
    state->Fire("failed");
    return state;
  }();
  return closed->state();
}

}  // namespace

connection_health::connection_health(duration cost, std::size_t max_connections)
    : cost_(cost), max_connections_(max_connections), progress_limit_(kMinProgressLimit) {}

void connection_health::SetLimits(duration cost, std::size_t max_connections) {
  cost_ = cost;
  max_connections_ = max_connections;
}

bool connection_health::MayOpen(instant now) const {
  const auto next = NextOpening(now);
  return next && *next <= now;
}

std::optional<instant> connection_health::NextOpening(instant now) const {
  if (connections_.size() >= max_connections_) {
    return std::nullopt;
  }
  return opened_at_ ? std::max(now, *opened_at_ + cost_) : now;
}

void connection_health::OnOpening(std::uint64_t generation, instant now) {
  opened_at_ = now;
  connections_.emplace(generation, connection{.state = chart_state(EmbeddedChart("connection")),
                                              .used_at = now,
                                              .progress_at = now});
}

connection_health::connection* connection_health::Find(std::uint64_t generation) {
  const auto found = connections_.find(generation);
  return found == connections_.end() ? nullptr : &found->second;
}

void connection_health::OnUsed(std::uint64_t generation, instant now) {
  connection* item = Find(generation);
  if (item != nullptr && item->state.Fire("used")) {
    item->used_at = now;
    item->progress_at = now;
  }
}

void connection_health::OnBytes(std::uint64_t generation, instant now) {
  connection* item = Find(generation);
  if (item == nullptr || item->state.IsIn("idle")) {
    return;
  }
  item->state.Fire("progress");
  item->progress_at = now;
  latest_answered_use_ = std::max(latest_answered_use_.value_or(item->used_at), item->used_at);
}

void connection_health::OnFinished(std::uint64_t generation, instant now) {
  OnBytes(generation, now);
  connection* item = Find(generation);
  if (item != nullptr && item->state.Fire("finished")) {
    RecordLatency(now - item->used_at);
    item->progress_at = now;
  }
}

void connection_health::OnFailed(std::uint64_t generation) {
  connections_.erase(generation);
}

void connection_health::RecordLatency(duration latency) {
  if (latencies_.size() < kMaxLatencies) {
    latencies_.push_back(latency);
  } else {
    latencies_[next_latency_ % kMaxLatencies] = latency;
  }
  if (++next_latency_ % kPercentileInterval != 0) {
    return;
  }
  std::vector<duration> sorted = latencies_;
  const std::size_t rank = sorted.size() * kPercentile / 100;
  std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank),
                   sorted.end());
  progress_limit_ = std::max(kMinProgressLimit, sorted[rank] * kProgressFactor);
}

std::vector<connection_drop> connection_health::TakeDrops(instant now) {
  std::vector<connection_drop> drops;
  for (auto& [generation, item] : connections_) {
    const duration since_progress = now - item.progress_at;
    if (item.state.IsIn("idle")) {
      if (since_progress >= kMaxIdleTime && item.state.Fire("dropped")) {
        drops.push_back({generation, drop_reason::idle});
      }
      continue;
    }
    if (since_progress >= progress_limit_) {
      item.state.Fire("silent");
    }
    // An answer to a later request on another connection shows that the server works, so that only
    // this connection is faulty.
    if (item.state.IsIn("suspect") && latest_answered_use_ &&
        *latest_answered_use_ > item.progress_at && item.state.Fire("dropped")) {
      drops.push_back({generation, drop_reason::silent});
    }
  }
  for (const connection_drop& drop : drops) {
    connections_.erase(drop.generation);
  }
  return drops;
}

std::optional<instant> connection_health::NextCheck() const {
  std::optional<instant> next;
  for (const auto& [generation, item] : connections_) {
    if (item.state.IsIn("suspect")) {
      continue;
    }
    const instant at =
        item.progress_at + (item.state.IsIn("idle") ? kMaxIdleTime : progress_limit_);
    next = std::min(next.value_or(at), at);
  }
  return next;
}

const std::string& connection_health::ConnectionState(std::uint64_t generation) const {
  const auto found = connections_.find(generation);
  return found == connections_.end() ? ClosedState() : found->second.state.state();
}

}  // namespace limpetlever
