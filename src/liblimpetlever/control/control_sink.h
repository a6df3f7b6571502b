#ifndef LIMPETLEVER_CONTROL_CONTROL_SINK_H_
#define LIMPETLEVER_CONTROL_CONTROL_SINK_H_

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

/** Where the adapter of a platform delivers what it has read, in the product's own types. */
class control_sink {
 public:
  virtual ~control_sink() = default;

  virtual void OnRouteTable(std::shared_ptr<const route_table> table) = 0;
  virtual void OnRouteTableRefused(const failure& reason) = 0;
  virtual void OnReplica(const replica& stated) = 0;
  virtual void OnReplicaRemoved(const std::string& id) = 0;
  /** An entry that names no usable server; an older one of that id no longer holds. */
  virtual void OnReplicaRefused(const std::string& id, const failure& reason) = 0;
  virtual void OnDataCentresTakenOut(std::set<std::string> data_centres) = 0;
  /** The hosts that are registered now. */
  virtual void OnHosts(const std::vector<gossip_entry>& hosts) = 0;
  virtual void OnStoreLost(int status) = 0;
  virtual void OnStoreRegained(duration outage) = 0;
  /** A call to the store, or to the host that relays it, was refused or not answered. */
  virtual void OnSourceFailed(int status) = 0;
  virtual void OnStoreHistoryLost(std::int64_t revision) = 0;
  /**
   * The store answers a call again after one that it left without an answer. A watch that was sent
   * in between is never answered.
   */
  virtual void OnSilenceEnded() = 0;
  virtual void OnRegistered(std::int64_t lease) = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_CONTROL_SINK_H_
