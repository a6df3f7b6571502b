#ifndef LIMPETLEVER_NODE_REPLICA_POOLS_H_
#define LIMPETLEVER_NODE_REPLICA_POOLS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "node/replica_attempt.h"
#include "timer/timer_service.h"

namespace limpetlever {

class event_loop;
class node_metrics;
class replica_pool;
class route_table;

/** One pool a backend server, made at its first use. */
class replica_pools {
 public:
  replica_pools(event_loop& loop, node_metrics& metrics);
  ~replica_pools();

  /** The connections that servers accept are shared by `hosts` hosts. */
  void UseLimits(const route_table& table, int hosts);
  /** Called with the id of a backend server that refuses a connection. */
  void OnRefused(std::function<void(const std::string&)> call) { on_refused_ = std::move(call); }
  void Send(std::shared_ptr<replica_attempt> attempt);
  void Cancel(const std::shared_ptr<replica_attempt>& attempt);

 private:
  void Sweep();
  std::size_t MostConnections(const std::string& service) const;

  event_loop& loop_;
  node_metrics& metrics_;
  std::unordered_map<const replica_record*, std::unique_ptr<replica_pool>> pools_;
  std::unordered_map<std::string, int> max_connections_;
  std::function<void(const std::string&)> on_refused_;
  int hosts_ = 1;
  timer_service::timer_id sweep_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_REPLICA_POOLS_H_
