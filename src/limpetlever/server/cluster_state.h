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
 * What this host knows of the whole system: table, members, view, replica status. Readers get
 * immutable snapshots. Safe for use by several threads.
 */
class cluster_state {
 public:
  explicit cluster_state(member self);

  const member& self() const { return self_; }

  /** Takes the table only if its version is greater; returns whether it was taken. */
  bool AdoptTable(operator_table table);
  std::shared_ptr<const operator_table> table() const;

  void SetMember(const member& host);
  std::vector<member> members() const;
  std::optional<member> FindMember(const std::string& name) const;

  /** Takes the view only if its epoch is greater; returns whether it was taken. */
  bool AdoptView(ownership_view view);
  std::shared_ptr<const ownership_view> view() const;

  /** Replaces what `owner` said of the replicas that it owns. */
  void SetReplicaStatuses(const std::string& owner, std::vector<replica_status> statuses);
  std::map<std::string, replica_status> statuses() const;

  std::shared_ptr<const routing_snapshot> routing() const;

  /** The host that owns the backend server in the current view; nullopt if there is none. */
  std::optional<member> FindReplicaOwner(const std::string& address) const;
  /** Backend servers that this host owns in the current view. */
  std::vector<backend_server_row> OwnedReplicas() const;

 private:
  /** The mutex must be held. */
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
