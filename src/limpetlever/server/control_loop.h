#ifndef LIMPETLEVER_SERVER_CONTROL_LOOP_H_
#define LIMPETLEVER_SERVER_CONTROL_LOOP_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "base/time_types.h"
#include "control/store_call_limiter.h"
#include "control/table_distributor.h"
#include "routing/replica_status.h"

namespace limpetlever {

class host_server;
class task_runner;

/**
 * Keeps the table and the replicas' status current: watches the key-value service where this host
 * is a watcher, exchanges gossip with other hosts, and polls owned backend servers.
 */
class control_loop {
 public:
  control_loop(host_server& server, task_runner& tasks);

  /** Subscribes the periodic work. */
  void Start();

  /** A table version is in force here; it is pushed on to other hosts. */
  void OnTable(std::int64_t version);

  /** Whether this host has the newest table that it could learn of when it started. */
  bool IsReady() const;

 private:
  void WatchTable();
  void ExchangeGossip();
  /** Returns whether the peer answered. */
  bool ExchangeWith(const std::string& peer_address);
  /** Tells all hosts what changed about the backend servers that this host owns. */
  void PublishStatuses();
  /** Records changes of limits since the last poll, so that quick changes make one event. */
  void RecordLimits(const std::vector<replica_status>& statuses);
  void DistributeTable();
  void Execute(const distribution_action& action);

  host_server& server_;
  task_runner& tasks_;
  mutable std::mutex mutex_;
  random_source random_;
  table_distributor table_distributor_;
  store_call_limiter store_call_limiter_;
  std::int64_t table_revision_ = 0;
  std::int64_t status_version_ = 0;
  std::string last_statuses_;
  /** Of owned backend servers; used by the polling task only. */
  std::map<std::string, int> last_limits_;
  bool is_store_available_ = true;
  instant store_lost_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_CONTROL_LOOP_H_
