#ifndef LIMPETLEVER_SERVER_HOST_SERVER_H_
#define LIMPETLEVER_SERVER_HOST_SERVER_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>

#include "chart/chart_state.h"
#include "control/gossip_map.h"
#include "events/event_log.h"
#include "server/bad_input_log.h"
#include "server/cluster_state.h"
#include "server/data_centre_states.h"
#include "settings/host_settings.h"

namespace limpetlever {

class backend_client;
class control_loop;
class coordinator;
class crash_service;
class host_list_client;
class host_metrics;
class http_server;
class key_value_client;
class peer_links;
class peer_server;
class membership_service;
class ownership_service;
class replica_owner;
class submission_service;
class task_runner;
class timer_thread;

/** The threaded server of one host: owns its components and connects them. */
class host_server {
 public:
  explicit host_server(host_settings settings);
  ~host_server();
  host_server(const host_server&) = delete;
  host_server& operator=(const host_server&) = delete;

  /** Binds the addresses and starts to serve; throws if an address cannot be bound. */
  void Start();
  /**
   * Announces that this host leaves, hands its replicas over and blocks until the requests in
   * flight are answered.
   */
  void Leave();

  const host_settings& settings() const { return settings_; }
  cluster_state& state() { return state_; }
  event_log& events() { return events_; }
  gossip_map& gossip() { return gossip_; }
  peer_links& links() { return *links_; }
  coordinator& queries() { return *queries_; }
  replica_owner& owner() { return *owner_; }
  ownership_service& ownership() { return *ownership_; }
  membership_service& membership() { return *membership_; }
  submission_service& submissions() { return *submissions_; }
  host_metrics& metrics() { return *metrics_; }
  crash_service& crashes() { return *crashes_; }
  /** An empty code if this host may accept new work; otherwise the reason why not. */
  std::error_code Readiness() const;
  key_value_client& store() { return *store_; }
  host_list_client& hosts() { return *hosts_; }
  bool is_leaving() const { return is_leaving_; }
  bad_input_log& bad_input() { return bad_input_; }
  const data_centre_states& data_centres() const { return data_centres_; }
  /** State of the chart "host": starting, serving, isolated, leaving or stopped. */
  std::string lifecycle_state() const;

 private:
  void OnGossip(const gossip_entry& entry);
  /** Blocks until the current view no longer contains this host, at most for `timeout`. */
  void WaitUntilReplaced(duration timeout);
  void UpdateMetrics();
  /** Updates the state of the chart "host" by readiness and lease. */
  void UpdateLifecycle();

  const host_settings settings_;
  cluster_state state_;
  event_log events_;
  gossip_map gossip_;
  std::unique_ptr<host_metrics> metrics_;
  bad_input_log bad_input_;
  data_centre_states data_centres_;
  mutable std::mutex lifecycle_mutex_;
  chart_state lifecycle_;
  std::unique_ptr<crash_service> crashes_;
  std::unique_ptr<key_value_client> store_;
  std::unique_ptr<host_list_client> hosts_;
  std::unique_ptr<backend_client> backends_;
  std::unique_ptr<peer_links> links_;
  std::unique_ptr<coordinator> queries_;
  std::unique_ptr<replica_owner> owner_;
  std::unique_ptr<timer_thread> timer_;
  std::unique_ptr<task_runner> tasks_;
  std::unique_ptr<ownership_service> ownership_;
  std::unique_ptr<membership_service> membership_;
  std::unique_ptr<control_loop> control_loop_;
  std::unique_ptr<submission_service> submissions_;
  std::unique_ptr<peer_server> peer_server_;
  std::unique_ptr<http_server> http_server_;
  std::atomic<bool> is_leaving_ = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_HOST_SERVER_H_
