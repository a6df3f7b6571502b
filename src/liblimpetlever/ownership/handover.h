#ifndef LIMPETLEVER_OWNERSHIP_HANDOVER_H_
#define LIMPETLEVER_OWNERSHIP_HANDOVER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time_types.h"
#include "ownership/lease_limits.h"
#include "ownership/owner_index.h"

namespace limpetlever {

/**
 * Decides which replicas this host may use after a change of view, so that no replica has two
 * users. A replica that this host gained is usable once its former owner has released it, or after
 * the time by which the former owner's lease and attempts must have ended. If this host did not
 * adopt the preceding view, it does not know the former owners and every replica waits that long;
 * so adopt each view in turn where it is known.
 */
class handover {
 public:
  handover(std::string name, std::int64_t incarnation, lease_limits limits = {});

  /** Adopts the index of the next view; ignored unless its epoch is above the current one. */
  void Adopt(owner_index index, const std::vector<replica_location>& replicas, instant now);

  /**
   * Replaces the index after a change of the table within the current view. Replicas that this host
   * newly owns wait as after a change of view. Ignored if `index` is of another epoch.
   */
  void UpdateReplicas(owner_index index,
                      const std::vector<replica_location>& replicas,
                      instant now);

  /** Processes the message that `host` has released all replicas that it lost in `epoch`. */
  void OnRelease(const std::string& host, std::int64_t epoch);

  /** Whether this host owns the replica and no former owner can still use it. */
  bool IsReady(const std::string& replica, instant now) const;

  /**
   * The replicas that this host lost in the current epoch. When none of them has an attempt in
   * flight, send Release(epoch) to the members and call OnReleaseSent. nullopt if this host lost
   * none, if the release was sent, or if it must not be sent because an earlier owner may still
   * have been using one of them.
   */
  std::optional<std::vector<std::string>> ReplicasToRelease() const;

  /** Records that the Release of the current epoch was sent. */
  void OnReleaseSent();

  /** When the next waiting replica becomes ready without a release; nullopt if none waits. */
  std::optional<instant> NextTimer(instant now) const;

 private:
  struct pending_handover {
    std::string former_owner;  // empty when it is unknown
    std::int64_t epoch = 0;    // of the view in which the replica was gained
    instant ready_at;
  };
  bool IsSelf(const view_member* owner) const;

  std::string name_;
  std::int64_t incarnation_;
  lease_limits limits_;
  owner_index index_;
  std::map<std::string, pending_handover> pending_;
  std::vector<std::string> lost_replicas_;
  bool may_release_ = false;
  // Epoch and host of each release. A release may arrive before the view with its epoch.
  std::set<std::pair<std::int64_t, std::string>> releases_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_OWNERSHIP_HANDOVER_H_
