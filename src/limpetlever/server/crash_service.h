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

/** Shares with all hosts which requests crash servers. Safe for use by several threads. */
class crash_service {
 public:
  /** Sends entries to all other hosts without waiting for them. */
  using push = std::function<void(const std::vector<gossip_entry>&)>;

  crash_service(gossip_map& gossip, event_log& events);

  /** Without it marks spread by the gossip exchange only. To be set before the first event. */
  void SetPush(push push_entries) { push_ = std::move(push_entries); }

  /** A backend server died while these fingerprints were in flight on it. */
  void OnServerCrash(const std::string& server, const std::vector<std::uint64_t>& fingerprints);
  void OnCompleted(std::uint64_t fingerprint);
  /** A mark travelled here by gossip. */
  void OnGossipEntry(const gossip_entry& entry);
  /** Whether a request with this fingerprint must not be run. */
  bool IsBlocked(std::uint64_t fingerprint) const;
  /** Whether it was in flight when a server other than `server` died: one more loss is too many. */
  bool IsCrashSuspect(std::uint64_t fingerprint, const std::string& server) const;
  /** A whole query lost servers of several shards; it is blocked unless it has completed before. */
  void OnQueryLost(std::uint64_t fingerprint);

 private:
  void Share(const std::vector<crash_report>& reports);

  gossip_map& gossip_;
  event_log& events_;
  mutable std::mutex mutex_;
  crash_guard guard_;
  push push_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_CRASH_SERVICE_H_
