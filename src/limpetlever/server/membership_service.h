#ifndef LIMPETLEVER_SERVER_MEMBERSHIP_SERVICE_H_
#define LIMPETLEVER_SERVER_MEMBERSHIP_SERVICE_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "control/gossip_entry.h"
#include "membership/member.h"
#include "membership/member_tracker.h"

namespace limpetlever {

class cluster_state;
class event_log;
class gossip_map;
class host_list_client;
class ownership_service;
class peer_links;
class task_runner;

/**
 * Keeps the member states of all hosts up to date by probes, gossip and the platform's list of
 * hosts. Safe for use by several threads.
 */
class membership_service {
 public:
  membership_service(cluster_state& state,
                     host_list_client& host_list,
                     peer_links& links,
                     gossip_map& gossip,
                     event_log& events,
                     task_runner& tasks,
                     ownership_service& ownership);

  /** Schedules the periodic tasks. */
  void Start();

  /** Applies a member state received by gossip. */
  void OnGossipEntry(const gossip_entry& entry);

  /**
   * Whether the host `target` answers a probe; an empty name stands for this host. Blocks while
   * another host is probed. Sends recent member states to `asker`, the host that asked.
   */
  bool HandleProbe(const std::string& target, const std::string& asker);

  /** Sets this host's member state to "leaving" and publishes it. */
  void Leave();

 private:
  void Advance();
  void ReadHostList();
  void SendProbe(const probe_action& probe);
  /** Passes changed member states on to the cluster state and the ownership service. */
  void PublishChanges();

  cluster_state& state_;
  host_list_client& host_list_;
  peer_links& links_;
  gossip_map& gossip_;
  event_log& events_;
  task_runner& tasks_;
  ownership_service& ownership_;
  mutable std::mutex mutex_;
  member_tracker tracker_;
  /** The tracker's change count at the last PublishChanges. */
  std::uint64_t published_change_count_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_MEMBERSHIP_SERVICE_H_
