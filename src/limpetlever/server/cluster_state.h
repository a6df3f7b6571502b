#ifndef LIMPETLEVER_SERVER_CLUSTER_STATE_H_
#define LIMPETLEVER_SERVER_CLUSTER_STATE_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "membership/member.h"
#include "ownership/owner_index.h"
#include "ownership/ownership_view.h"
#include "routing/replica_status.h"
#include "routing/routing_snapshot.h"
#include "table/operator_table.h"

namespace limpetlever {

/**
 * This host's current knowledge of the whole system: operators' table, members, ownership view and
 * replica statuses. Readers get immutable snapshots. Safe for use by several threads.
 */
class cluster_state {
 public:
  explicit cluster_state(member self);

  const member& self() const { return self_; }

  /** Adopts the table only if its version is greater; returns whether it was adopted. */
  bool AdoptTable(operator_table table);
  std::shared_ptr<const operator_table> table() const;

  void SetMember(const member& host);
  std::vector<member> members() const;
  std::optional<member> FindMember(const std::string& name) const;

  /** Adopts the view only if its epoch is greater; returns whether it was adopted. */
  bool AdoptView(ownership_view view);
  std::shared_ptr<const ownership_view> view() const;

  /** Replaces the statuses that the host `owner` has reported for the replicas that it owns. */
  void SetReplicaStatuses(const std::string& owner, std::vector<replica_status> statuses);
  /** The status of each replica that has an owner and was reported on, by address. */
  std::map<std::string, replica_status> statuses() const;

  /** Built from the current table and statuses. */
  std::shared_ptr<const routing_snapshot> routing() const;

  /**
   * The host that owns the backend server at `address` in the current view; nullopt if it has no
   * owner or the owner is not a known member.
   */
  std::optional<member> FindReplicaOwner(const std::string& address) const;
  /** Backend servers that this host owns in the current view. */
  std::vector<backend_server_row> OwnedReplicas() const;

 private:
  /** The mutex must be held for these three. */
  void RebuildOwners();
  void RebuildRouting();
  std::map<std::string, replica_status> MergedStatuses() const;

  const member self_;
  mutable std::mutex mutex_;
  std::shared_ptr<const operator_table> table_;
  std::map<std::string, member> members_;
  std::shared_ptr<const ownership_view> view_;
  owner_index owners_;
  std::map<std::string, std::vector<replica_status>> statuses_;
  std::shared_ptr<const routing_snapshot> routing_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_CLUSTER_STATE_H_
