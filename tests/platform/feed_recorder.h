#ifndef TESTS_PLATFORM_FEED_RECORDER_H_
#define TESTS_PLATFORM_FEED_RECORDER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/route_table.h"
#include "control/control_listener.h"
#include "replicas/replica.h"

namespace limpetlever {

/** Records what is reported to a host. */
class feed_recorder : public control_listener {
 public:
  void OnReplicaChanged(const replica& entry) override {
    replicas.insert(entry.id);
    entries[entry.id] = entry;
    seen.insert(entry.id);
    if (on_replica_changed) {
      on_replica_changed(entry.id);
    }
  }
  void OnReplicaRemoved(const std::string& id) override {
    replicas.erase(id);
    entries.erase(id);
    ++removals;
  }
  void OnReplicaRemovalDelayed(const std::string&, duration) override { ++delays; }
  void OnStoreRegained(duration) override { ++regained; }
  void OnRouteTable(std::shared_ptr<const route_table> table) override {
    versions.push_back(table->version());
  }
  void OnRouteTableRefused(const failure&) override {}
  void OnReplicaRefused(const std::string&, const failure&) override {}
  void OnEntryRefused(const std::string&, const failure&) override {}
  void OnDataCentresTakenOut(std::set<std::string> names) override {
    returns += names.empty() && !taken_out.empty() ? 1 : 0;
    taken_out = std::move(names);
  }
  void OnHostsChanged(const std::vector<gossip_entry>&) override {}
  void OnCrashReported(const gossip_entry&) override {}
  void OnStoreLost(int) override {}
  void OnSourceFailed(int) override { ++failures; }
  void OnWatchReplaced(std::int64_t, std::int64_t) override { ++watches_replaced; }
  void OnLoadRefused(std::int64_t, std::int64_t) override {}
  void OnStoreHistoryBegun(std::int64_t, std::int64_t) override {}
  void OnStoreHistoryLost(std::int64_t) override {}
  void OnStoreResponsive() override {}
  void OnCaughtUp() override {}
  void OnRegistered(std::int64_t) override { ++registered; }

  /** The last reported version is `version`. */
  bool HasVersion(std::int64_t version) const {
    return !versions.empty() && versions.back() == version;
  }

  std::set<std::string> replicas;
  /** The last entry of each server that is not removed. */
  std::map<std::string, replica> entries;
  /** All servers that were ever reported. */
  std::set<std::string> seen;
  /** The versions of the configuration in the order of the reports. */
  std::vector<std::int64_t> versions;
  std::set<std::string> taken_out;
  std::function<void(const std::string& id)> on_replica_changed;
  /** How often all data centres were taken back into service. */
  int returns = 0;
  int failures = 0;
  int registered = 0;
  int removals = 0;
  int delays = 0;
  int regained = 0;
  int watches_replaced = 0;
};

}  // namespace limpetlever

#endif  // TESTS_PLATFORM_FEED_RECORDER_H_
