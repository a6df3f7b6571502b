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
 * Keeps this host's table and replica statuses up to date: watches the key-value service if this
 * host is a watcher of its data centre, exchanges gossip with other hosts, and polls the backend
 * servers that this host owns. Safe for use by several threads.
 */
class control_loop {
 public:
  control_loop(host_server& server, task_runner& tasks);

  /** Schedules the periodic tasks. */
  void Start();

  /** Called when this host has adopted a table version; pushes it to other hosts. */
  void OnTable(std::int64_t version);

  /**
   * Whether this host has the newest table that the key-value service and other hosts had when it
   * started.
   */
  bool IsReady() const;

 private:
  void WatchTable();
  void ExchangeGossip();
  /**
   * Brings this host and the peer to the same gossip entries; sends the full digest only if the
   * digest hashes differ. Returns whether the peer answered.
   */
  bool ExchangeWith(const std::string& peer_address);
  /** Sends the statuses of owned backend servers to all hosts if they have changed. */
  void PublishStatuses();
  /**
   * Records an event for each replica whose limit differs from that of the last call, so that
   * several changes in quick succession make one event.
   */
  void RecordLimitChanges(const std::vector<replica_status>& statuses);
  void DistributeTable();
  void Execute(const distribution_action& action);

  host_server& server_;
  task_runner& tasks_;
  mutable std::mutex mutex_;
  random_source random_;
  table_distributor table_distribution_;
  store_call_limiter store_call_limiter_;
  std::int64_t table_revision_ = 0;
  std::int64_t status_version_ = 0;
  std::string last_published_statuses_;
  /** Limits of owned backend servers by address; used by PublishStatuses only. */
  std::map<std::string, int> last_limits_;
  bool is_store_available_ = true;
  instant store_lost_at_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_CONTROL_LOOP_H_
