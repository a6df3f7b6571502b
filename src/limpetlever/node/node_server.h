#ifndef LIMPETLEVER_NODE_NODE_SERVER_H_
#define LIMPETLEVER_NODE_NODE_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "control/control_listener.h"
#include "control/source_selector.h"
#include "control/store_position.h"
#include "membership/recent_maximum.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "node/log_writer.h"
#include "node/node_metrics.h"
#include "node/node_settings.h"
#include "node/peer_service.h"
#include "node/query_service.h"
#include "node/replica_pools.h"
#include "platform/control_feed.h"
#include "platform/crash_report_writer.h"
#include "platform/host_registration.h"
#include "platform/store_call_history.h"
#include "replicas/replica_registry.h"

namespace limpetlever {

/**
 * The limpetlever-node process of one host: creates and connects its parts, starts and stops it.
 */
class node_server : public control_listener {
 public:
  /** Binds all addresses of the settings; an error names the address that failed. */
  static result<std::unique_ptr<node_server>> Create(
      std::string settings_path,
      node_settings settings,
      event_loop::clock_function clock = ReadBootClock);
  ~node_server() override;

  /** Serves until SIGTERM, and then until the requests in progress are answered. */
  void Run();

 private:
  struct listeners {
    socket_handle callers;
    socket_handle readiness;
    socket_handle directory;
    socket_handle metrics;
    socket_handle peers;
    socket_handle relay;
  };
  node_server(std::string settings_path,
              node_settings settings,
              listeners sockets,
              event_loop::clock_function clock);

  void HandleReadiness(const std::shared_ptr<server_connection>& caller);
  void HandleDirectory(const std::shared_ptr<server_connection>& caller);
  /** The directory answer for callers in `data_centre`; empty if there is no host to name. */
  const std::string& DirectoryAnswer(const std::string& data_centre);
  /** Whether callers may be sent to the host, a member that counts as alive. */
  bool MayName(const member& host) const;
  /** Logs it if other members than before are silent. */
  void ReportSilentHosts(const std::vector<member>& members);
  void HandleMetrics(const std::shared_ptr<server_connection>& caller);
  /** Reads the settings file again; `cause` goes into the log. */
  void Reload(const char* cause);
  void CheckSettingsFile();
  /** A health check of this host or of another one has found a backend server cold. */
  void OnColdServer(const std::string& id, duration left, const char* source);
  /** Logs it if requests to a server are limited since it is cold, and were not before. */
  void ReportColdServer(const replica_record& record, bool was_limited, const char* source);
  /** Uses what a backend server says of itself in its entry. */
  void ApplyReplica(const replica& registered);
  /** Announces a new store revision to other hosts, or catches up if they have a newer one. */
  void CheckRevision();
  /** Limits the connections of a server that answers small requests, and what they hold. */
  void LimitSmallServer(http_server& server, std::size_t max_connections);
  /** Counts a connection that was given up, and logs it unless one was logged within a second. */
  void OnConnectionGivenUp(http_server::give_up_cause cause, std::size_t bytes);
  void ApplySettings(const node_settings& settings);
  /** Recomputes this host's share of the retry budget and of the connections to servers. */
  void UpdateShares();
  /** Sets the hosts that share the limits of backend servers. */
  void UpdateLimitSharers();
  /** Whether this host has run long enough for its view of the fleet to be complete. */
  bool IsViewComplete() const;
  /** Whether it has also known the registered hosts for as long. */
  bool KnowsAllHosts() const;
  /**
   * Chooses whether this host reads store changes from the store or from another host, and whether
   * it relays them. `cause` goes into the log.
   */
  void UpdateSource(const char* cause);
  /** Chooses whether this host relays changes of the store to other hosts. */
  void UpdateRelaying();
  /** The name of the host that this one follows, or "store". */
  std::string CurrentSource() const;
  /** Sets this host's share of the retry budget of a fleet of `fleet_size` hosts. */
  void UpdateRetryShare(const std::vector<member>& in_use, int fleet_size);
  /**
   * How many hosts callers should use, given the service whose servers accept the fewest
   * connections.
   */
  std::size_t MaxHostsInUse() const;
  /** Refuses requests until this host, which was paused for `pause`, has read what has changed. */
  void OnPause(duration pause);
  /** Begins the graceful stop. */
  void Leave();
  /** Stops the loop once the graceful stop is complete or the grace time is nearly over. */
  void CheckDrained(instant leaving_since);
  bool IsReady() const { return query_.table() != nullptr && !is_leaving_; }

  void OnRouteTable(std::shared_ptr<const route_table> table) override;
  void OnRouteTableRefused(const failure& reason) override;
  void OnReplicaChanged(const replica& registered) override;
  void OnReplicaRemoved(const std::string& id) override;
  void OnReplicaRemovalDelayed(const std::string& id, duration delay) override;
  void OnReplicaRefused(const std::string& id, const failure& reason) override;
  void OnEntryRefused(const std::string& key, const failure& reason) override;
  void OnDataCentresTakenOut(std::set<std::string> data_centres) override;
  void OnHostsChanged(const std::vector<gossip_entry>& hosts) override;
  void OnCrashReported(const gossip_entry& report) override;
  void OnStoreLost(int status) override;
  void OnStoreRegained(duration outage) override;
  void OnSourceFailed(int status) override;
  void OnWatchReplaced(std::int64_t revision, std::int64_t newest) override;
  void OnLoadRefused(std::int64_t revision, std::int64_t known) override;
  void OnStoreHistoryBegun(std::int64_t era, std::int64_t known) override;
  void OnStoreHistoryLost(std::int64_t revision) override;
  void OnStoreResponsive() override;
  void OnCaughtUp() override;
  void OnRegistered(std::int64_t lease) override;

  const std::string settings_path_;
  node_settings settings_;
  event_loop loop_;
  log_writer log_;
  node_metrics metrics_;
  replica_registry replicas_;
  replica_pools pools_;
  query_service query_;
  peer_service peers_;
  platform::store_call_history store_calls_;
  platform::control_feed feed_;
  platform::host_registration registration_;
  platform::crash_report_writer crash_reports_;
  http_server callers_;
  http_server readiness_;
  http_server metrics_server_;
  std::unique_ptr<http_server> directory_;
  struct directory_answer {
    std::string text;
    instant made;
  };
  /** Directory answers by the caller's data centre, until the hosts or the configuration change. */
  std::map<std::string, directory_answer> directory_answers_;
  /** Hosts in use that were silent, as last logged. */
  std::size_t silent_host_count_ = 0;
  instant silent_hosts_logged_;
  recent_maximum fleet_size_;
  recent_maximum hosts_in_use_;
  source_selector source_;
  instant started_;
  /** When the registered hosts were first read. */
  std::optional<instant> hosts_read_;
  /** Connections given up since the start. */
  std::int64_t given_up_count_ = 0;
  std::int64_t logged_given_up_count_ = 0;
  instant given_up_logged_;
  bool is_leaving_ = false;
  store_position announced_position_;
  /** A new configuration arrived whose position was not sent to other hosts yet. */
  bool has_unannounced_config_ = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_NODE_SERVER_H_
