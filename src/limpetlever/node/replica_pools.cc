#include "node/replica_pools.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "config/route_table.h"
#include "net/event_loop.h"
#include "node/replica_pool.h"
#include "replicas/replica_record.h"

namespace limpetlever {

namespace {

constexpr duration kSweepPeriod = std::chrono::milliseconds(100);
// The rest is kept for hosts that restart and open connections before the server has dropped their
// old ones.
constexpr double kUsableShare = 0.9;
constexpr int kDefaultMaxConnections = 16;
// The settings replace it.
constexpr std::size_t kDefaultAnswerBytes = 32 * 1024 * 1024;

}  // namespace

replica_pools::replica_pools(event_loop& loop, node_metrics& metrics)
    : loop_(loop),
      metrics_(metrics),
      answer_memory_(std::make_shared<receive_memory>(kDefaultAnswerBytes)) {
  sweep_ = loop_.timers().SubscribeEvery(loop_.Now() + kSweepPeriod, kSweepPeriod,
                                         [this](instant) { Sweep(); });
}

replica_pools::~replica_pools() {
  loop_.timers().Cancel(sweep_);
}

std::size_t replica_pools::MaxConnections(const std::string& service) const {
  const auto found = services_.find(service);
  const int limit = found == services_.end() || found->second.max_connections <= 0
                        ? kDefaultMaxConnections
                        : found->second.max_connections;
  const auto share = static_cast<int>(limit * kUsableShare / std::max(1, host_count_));
  return static_cast<std::size_t>(std::max(1, share));
}

void replica_pools::SetConnectionLimits(const route_table& table, int hosts, bool is_in_use) {
  host_count_ = hosts;
  keeps_connections_ = is_in_use;
  for (const service_settings& service : table.services()) {
    services_[service.name] = service;
  }
  for (const auto& [key, pool] : pools_) {
    ApplySettings(*pool);
  }
}

void replica_pools::ApplySettings(replica_pool& pool) const {
  const std::string& service = pool.target().registered.service;
  pool.SetMaxConnections(MaxConnections(service));
  pool.SetKeepsConnections(keeps_connections_);
  const auto found = services_.find(service);
  pool.SetHealthPath(found == services_.end() ? std::string() : found->second.health_path);
}

void replica_pools::Send(std::shared_ptr<replica_attempt> attempt) {
  auto& pool = pools_[attempt->target.get()];
  if (!pool) {
    pool =
        std::make_unique<replica_pool>(loop_, metrics_, attempt->target, listener_, answer_memory_);
    ApplySettings(*pool);
  }
  pool->Send(std::move(attempt));
}

void replica_pools::Cancel(const std::shared_ptr<replica_attempt>& attempt) {
  if (const auto found = pools_.find(attempt->target.get()); found != pools_.end()) {
    found->second->Cancel(attempt);
  }
}

void replica_pools::Sweep() {
  // A sweep may move an attempt to a server without a pool, which adds one.
  std::vector<replica_pool*> swept;
  swept.reserve(pools_.size());
  for (const auto& [key, pool] : pools_) {
    swept.push_back(pool.get());
  }
  for (replica_pool* pool : swept) {
    pool->Sweep();
  }
  for (auto item = pools_.begin(); item != pools_.end();) {
    if (item->second->IsEmpty()) {
      // A connection of the pool may still be on the call stack or awaiting deferred destruction.
      loop_.Defer([held = std::shared_ptr<replica_pool>(std::move(item->second))] {});
      item = pools_.erase(item);
    } else {
      ++item;
    }
  }
}

}  // namespace limpetlever
