#ifndef LIMPETLEVER_SERVER_CRASH_SERVICE_H_
#define LIMPETLEVER_SERVER_CRASH_SERVICE_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "control/gossip_entry.h"
#include "limits/crash_guard.h"

namespace limpetlever {

class event_log;
class gossip_map;

/**
 * Tracks the requests that were in flight on backend servers when those crashed, by fingerprint,
 * and shares these marks with all hosts, so that a request that crashes servers is blocked
 * everywhere. Safe for use by several threads.
 */
class crash_service {
 public:
  /** Sends entries to all other hosts without waiting for them. */
  using push_function = std::function<void(const std::vector<gossip_entry>&)>;

  crash_service(gossip_map& gossip, event_log& events);

  /** Without it, marks are sent by the gossip exchange only. Must be set before any other call. */
  void SetPush(push_function push_entries) { push_ = std::move(push_entries); }

  /** Call when a backend server has crashed while these fingerprints were in flight on it. */
  void OnServerCrash(const std::string& server, const std::vector<std::uint64_t>& fingerprints);
  /** Call when a request has completed; removes its marks. */
  void OnCompleted(std::uint64_t fingerprint);
  /** Applies a mark or a completion received by gossip; ignores other entries. */
  void OnGossipEntry(const gossip_entry& entry);
  /** Whether a request with this fingerprint must not be run. */
  bool IsBlocked(std::uint64_t fingerprint) const;
  /**
   * Whether a request with this fingerprint was in flight when a server other than `server`
   * crashed; a crash of `server` would block it.
   */
  bool IsCrashSuspect(std::uint64_t fingerprint, const std::string& server) const;
  /**
   * Call when a query has lost backend servers of several shards. Blocks the query's fingerprint
   * unless it has completed before.
   */
  void OnQueryLostServers(std::uint64_t fingerprint);

 private:
  void Publish(const std::vector<crash_report>& updates);

  gossip_map& gossip_;
  event_log& events_;
  mutable std::mutex mutex_;
  crash_guard guard_;
  push_function push_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_CRASH_SERVICE_H_
