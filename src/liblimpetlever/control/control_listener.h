#ifndef LIMPETLEVER_CONTROL_CONTROL_LISTENER_H_
#define LIMPETLEVER_CONTROL_CONTROL_LISTENER_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time_types.h"
#include "control/gossip_entry.h"

namespace limpetlever {

class route_table;
struct replica;

/**
 * Receives what the adapter of a platform has read from the platform's key-value store, in the
 * types of this library.
 */
class control_listener {
 public:
  virtual ~control_listener() = default;

  virtual void OnRouteTable(std::shared_ptr<const route_table> table) = 0;
  virtual void OnRouteTableRefused(const failure& reason) = 0;
  virtual void OnReplicaChanged(const replica& entry) = 0;
  virtual void OnReplicaRemoved(const std::string& id) = 0;
  /**
   * The entry of the replica `id` is gone, perhaps because it lapsed in an outage of the store.
   * OnReplicaRemoved follows after `delay` unless the replica registers again.
   */
  virtual void OnReplicaRemovalDelayed(const std::string& id, duration delay) = 0;
  /**
   * The store's entry for the replica `id` does not describe a usable backend server; an earlier
   * entry for that id is no longer valid.
   */
  virtual void OnReplicaRefused(const std::string& id, const failure& reason) = 0;
  /** An entry of the store under `key` that is not one of a server cannot be read. */
  virtual void OnEntryRefused(const std::string& key, const failure& reason) = 0;
  virtual void OnDataCentresTakenOut(std::set<std::string> data_centres) = 0;
  /** The hosts that are currently registered; replaces the previous list. */
  virtual void OnHostsChanged(const std::vector<gossip_entry>& hosts) = 0;
  /** A host has stored a report on a request that crashes servers. */
  virtual void OnCrashReported(const gossip_entry& report) = 0;
  /** The store has become unreachable. `status` is that of the failed call; 0 means no answer. */
  virtual void OnStoreLost(int status) = 0;
  /** The store is reachable again after `outage`. */
  virtual void OnStoreRegained(duration outage) = 0;
  /**
   * A call to the store, or to the host that relays its changes, was refused with `status` or not
   * answered (0).
   */
  virtual void OnSourceFailed(int status) = 0;
  /**
   * The watch has reported nothing after `revision` although the store has changes up to `newest`;
   * it is replaced.
   */
  virtual void OnWatchReplaced(std::int64_t revision, std::int64_t newest) = 0;
  /**
   * All keys were to be read again, and an answer was refused: it is as of `revision`, while all
   * changes up to `known` were reported.
   */
  virtual void OnLoadRefused(std::int64_t revision, std::int64_t known) = 0;
  /**
   * The store has come back from a copy, in its era `era`; `known` is the revision that this host
   * knew of the history before. All keys are read again.
   */
  virtual void OnStoreHistoryBegun(std::int64_t era, std::int64_t known) = 0;
  virtual void OnStoreHistoryLost(std::int64_t revision) = 0;
  /**
   * The store has answered a call after an earlier call was left without an answer. A watch that
   * was sent in between is never answered and must be sent again.
   */
  virtual void OnStoreResponsive() = 0;
  /** What the store held when this host asked for it last has been reported. */
  virtual void OnCaughtUp() = 0;
  /** This host has been registered in the store under the given lease. */
  virtual void OnRegistered(std::int64_t lease) = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_CONTROL_LISTENER_H_
