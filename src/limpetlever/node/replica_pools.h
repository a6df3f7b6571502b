#ifndef LIMPETLEVER_NODE_REPLICA_POOLS_H_
#define LIMPETLEVER_NODE_REPLICA_POOLS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "config/service_settings.h"
#include "net/receive_memory.h"
#include "node/pool_listener.h"
#include "node/replica_attempt.h"
#include "timer/timer_service.h"

namespace limpetlever {

class event_loop;
class node_metrics;
class replica_pool;
class route_table;

/** The connection pools of this host, one per backend server, created on first use. */
class replica_pools {
 public:
  replica_pools(event_loop& loop, node_metrics& metrics);
  ~replica_pools();

  /**
   * Limits the connections to each server to this host's share of what the server accepts, as
   * given by `table`; `hosts` hosts share them. A host that is not one of these serves few
   * requests and keeps no idle connection, so that the others can have theirs.
   */
  void SetConnectionLimits(const route_table& table, int hosts, bool is_in_use);
  /** Limits what all incomplete answers of backend servers take together. */
  void SetAnswerMemory(std::size_t max_bytes) { answer_memory_->SetMaxBytes(max_bytes); }
  const receive_memory& answer_memory() const { return *answer_memory_; }
  /** Sets the function to call with a backend server that refused a connection. */
  void OnConnectionRefused(std::function<void(const replica&)> call) {
    listener_.on_refused = std::move(call);
  }
  /** Sets the function to call when a health check finds a server cold, which was not known. */
  void OnColdServer(std::function<void(const std::string& id, duration left)> call) {
    listener_.on_cold = std::move(call);
  }
  /** Sends the attempt to its target, or queues it until a connection is free. */
  void Send(std::shared_ptr<replica_attempt> attempt);
  /** See replica_pool::Cancel. */
  void Cancel(const std::shared_ptr<replica_attempt>& attempt);

 private:
  void Sweep();
  /** This host's limit of connections to one server of `service`. */
  std::size_t MaxConnections(const std::string& service) const;
  void ApplySettings(replica_pool& pool) const;

  event_loop& loop_;
  node_metrics& metrics_;
  /** Also held by the connections, which may outlive this object. */
  const std::shared_ptr<receive_memory> answer_memory_;
  std::unordered_map<const replica_record*, std::unique_ptr<replica_pool>> pools_;
  std::unordered_map<std::string, service_settings> services_;
  pool_listener listener_;
  int host_count_ = 1;
  bool keeps_connections_ = true;
  timer_service::timer_id sweep_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_REPLICA_POOLS_H_
