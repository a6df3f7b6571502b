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
 * Keeps the ownership view of this host's region and the lease on it, and says which replicas this
 * host may use. Safe for use by several threads.
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

  /** Subscribes the periodic work. */
  void Start();

  /** The host's lease is fresh: it may give out new work. */
  bool MayDispatch() const;
  /** The lease is fresh and this host is the replica's owner with no former owner left. */
  bool MayUse(const std::string& replica) const;

  /** Members that the view should have; `gone` no longer run, by the platform's list of hosts. */
  void SetMembers(const std::vector<member>& members, std::set<std::string> departed_members);
  /** The table in force changed. */
  void OnTable(const operator_table& table);
  /** Views travelled here by gossip, in ascending order of epoch. */
  void OnViews(const std::vector<ownership_view>& views);

  /** What other hosts ask. */
  view_report Report() const;
  bool CloseEpoch(const std::string& region, std::int64_t epoch);
  void OnRelease(const std::string& host, std::int64_t epoch);

  /** This host leaves: its replicas go to others with the next view. */
  void Leave();
  /** Whether the current view still names this process. */
  bool IsMember() const;

 private:
  void RenewLeaseIfDue();
  void RenewLease();
  /** Reads view and table; a newer view is adopted and its lease confirmed in one step. */
  void VerifyWithStore();
  /** As VerifyWithStore, but returns at once while another thread does it. */
  void TryVerifyWithStore();
  void VerifyWithStoreLocked();
  void AskHosts(const std::vector<member>& hosts);
  void Propose();
  void Execute(const proposer_action& action);
  void ReadViewFor(const proposer_action& action);
  void CommitFor(const proposer_action& action);
  void CloseEpochFor(const proposer_action& action);
  void PushViews(const std::vector<ownership_view>& views);
  void SendReleases();
  void ReportLeaseChange();
  /** The mutex must be held. */
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

  /** Held while the store is read; taken before `mutex_`. */
  std::mutex verify_mutex_;
  mutable std::mutex mutex_;
  view_lease lease_;
  view_proposer proposer_;
  handover handover_;
  std::vector<replica_location> locations_;
  std::vector<member> members_;
  std::set<std::string> departed_members_;
  /** The newest views, in ascending order of epoch. */
  std::vector<ownership_view> recent_views_;
  std::int64_t table_version_ = 0;
  std::int64_t view_revision_ = 0;
  std::int64_t table_revision_ = 0;
  std::int64_t store_epoch_ = 0;
  std::int64_t store_table_version_ = 0;
  /** Replicas that this host owned when it last looked. */
  std::set<std::string> owned_;
  bool is_leaving_ = false;
  bool was_fresh_ = false;
  instant renewed_at_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_OWNERSHIP_SERVICE_H_
