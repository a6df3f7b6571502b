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

/** Keeps the members of the system: probes them and reads the list of hosts. Safe for use by
 * several threads. */
class membership_service {
 public:
  membership_service(cluster_state& state,
                     host_list_client& hosts,
                     peer_links& links,
                     gossip_map& gossip,
                     event_log& events,
                     task_runner& tasks,
                     ownership_service& ownership);

  /** Subscribes the periodic work. */
  void Start();

  /** A member's state travelled here by gossip. */
  void OnGossipEntry(const gossip_entry& entry);

  /**
   * Whether `target` answers; an empty target or this host's name is this host itself. Sends the
   * newest member states to `asker`.
   */
  bool HandleProbe(const std::string& target, const std::string& asker);

  /** From now on this host's state is "leaving". */
  void Leave();

 private:
  void Advance();
  void ReadList();
  void Send(const probe_action& probe);
  void PublishChanges();

  cluster_state& state_;
  host_list_client& hosts_;
  peer_links& links_;
  gossip_map& gossip_;
  event_log& events_;
  task_runner& tasks_;
  ownership_service& ownership_;
  mutable std::mutex mutex_;
  member_tracker tracker_;
  std::uint64_t published_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_MEMBERSHIP_SERVICE_H_
