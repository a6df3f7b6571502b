#ifndef LIMPETLEVER_SERVER_OWNERSHIP_SERVICE_H_
#define LIMPETLEVER_SERVER_OWNERSHIP_SERVICE_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "membership/member.h"
#include "ownership/handover.h"
#include "ownership/view_lease.h"
#include "ownership/view_proposer.h"
#include "ownership/view_report.h"
#include "table/operator_table.h"

namespace limpetlever {

class cluster_state;
class event_log;
class gossip_map;
class key_value_client;
class peer_links;
class task_runner;

/**
 * Maintains the ownership view of this host's region (which host owns which replica) and this
 * host's lease on it, and decides which replicas this host may use. Thread-safe.
 */
class ownership_service {
 public:
  /** Whether this host has attempts in flight on a backend server. */
  using in_flight_check = std::function<bool(const std::string& replica)>;

  ownership_service(cluster_state& state,
                    key_value_client& store,
                    peer_links& links,
                    gossip_map& gossip,
                    event_log& events,
                    task_runner& tasks,
                    in_flight_check has_in_flight);

  /** Schedules lease renewal, view proposals and the sending of releases. */
  void Start();

  /** Whether the lease on the current view is fresh, so that this host may start new work. */
  bool MayDispatch() const;
  /**
   * Whether the lease is fresh, this host owns the replica, and its former owner has released it or
   * can no longer use it.
   */
  bool MayUse(const std::string& replica) const;

  /**
   * Sets the members from which the next view is proposed. `stopped` names the hosts that no longer
   * run according to the platform's list of hosts.
   */
  void SetMembers(const std::vector<member>& members, std::set<std::string> stopped);
  /** Adopts a newer operator table; ignores a table that is not newer than the current one. */
  void OnTable(const operator_table& table);
  /** Handles views received by gossip, in ascending order of epoch. */
  void OnViews(const std::vector<ownership_view>& views);

  /** How fresh this host's view and table are; sent to hosts that renew their lease from it. */
  view_report Report() const;
  /**
   * From now on this host attests no epoch up to `epoch`, so that the next view can be committed.
   * Returns whether `region` is this host's region.
   */
  bool CloseEpoch(const std::string& region, std::int64_t epoch);
  /** A host stopped using the replicas that it lost with the view of `epoch`. */
  void OnRelease(const std::string& host, std::int64_t epoch);

  /** Starts leaving: the next view assigns this host's replicas to other hosts. */
  void Leave();
  /** Whether the current view contains this host in its current incarnation. */
  bool IsMember() const;

 private:
  /** Renews the lease if the renewal period has passed or the lease is near its expiry. */
  void RenewLeaseIfDue();
  /**
   * Renews the lease: a watcher reads the key-value service, another host asks the watchers of its
   * data centre. Near the expiry it also asks all hosts of the region.
   */
  void RenewLease();
  /**
   * Reads view and table from the key-value service. A newer view is adopted and its lease
   * confirmed under one lock, so that no work is refused in between.
   */
  void VerifyWithStore();
  /** Like VerifyWithStore, but returns at once if another thread is already verifying. */
  void TryVerifyWithStore();
  /** Requires `verify_mutex_`. */
  void VerifyWithStoreLocked();
  /** Requests the freshness of each host's view and table, without waiting for the replies. */
  void RequestFreshness(const std::vector<member>& hosts);
  void Propose();
  void Execute(const proposer_action& action);
  void ReadViewFor(const proposer_action& action);
  void CommitFor(const proposer_action& action);
  void CloseEpochFor(const proposer_action& action);
  void PushViews(const std::vector<ownership_view>& views);
  void SendReleases();
  /** Records an event when the lease has lapsed. */
  void ReportLeaseChange();
  /** Methods whose names end in Locked require `mutex_`, except VerifyWithStoreLocked. */
  void UpdateWantedLocked();
  void AdoptLocked(const std::vector<ownership_view>& views);
  bool AdoptOneLocked(const ownership_view& view);
  void ReportAcquiredLocked();
  result<std::vector<ownership_view>> ReadViews(std::int64_t& revision);

  cluster_state& state_;
  key_value_client& store_;
  peer_links& links_;
  gossip_map& gossip_;
  event_log& events_;
  task_runner& tasks_;
  const in_flight_check has_in_flight_;
  const std::string view_key_;

  /** Held while view and table are read from the store; locked before `mutex_`. */
  std::mutex verify_mutex_;
  mutable std::mutex mutex_;
  view_lease lease_;
  view_proposer proposer_;
  handover handover_;
  std::vector<replica_location> locations_;
  std::vector<member> members_;
  std::set<std::string> stopped_hosts_;
  /** The latest views, in ascending order of epoch. */
  std::vector<ownership_view> recent_views_;
  std::int64_t table_version_ = 0;
  std::int64_t view_revision_ = 0;
  std::int64_t table_revision_ = 0;
  std::int64_t store_epoch_ = 0;
  std::int64_t store_table_version_ = 0;
  /** Replicas owned at the last adoption of a view or table, to report those newly acquired. */
  std::set<std::string> owned_replicas_;
  bool is_leaving_ = false;
  bool was_fresh_ = false;
  instant renewed_at_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_OWNERSHIP_SERVICE_H_
