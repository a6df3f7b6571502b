#ifndef LIMPETLEVER_CONTROL_TABLE_DISTRIBUTOR_H_
#define LIMPETLEVER_CONTROL_TABLE_DISTRIBUTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "base/time_types.h"
#include "control/distribution_action.h"

namespace limpetlever {

/**
 * Decides how versions of the operator table are distributed between hosts. A version is adopted
 * only if it is newer than the current one, and is then pushed to 8 peers; a newer version that a
 * peer reports is pulled from that peer. A starting host requests the table from the key-value
 * service and three peers, and adopts the newest version. It is ready once it has a table and the
 * service has answered. If the service fails, it is ready once every peer that was asked has
 * answered or failed, and at least one had a table. Not safe for concurrent use.
 */
class table_distributor {
 public:
  explicit table_distributor(std::uint64_t seed) : random_(seed) {}

  /** Names of the live hosts other than this one. */
  void SetPeers(std::vector<std::string> peers);

  /**
   * Reports the version of a table that was received, or committed by this host. Returns whether it
   * is newer, so that the table must be adopted.
   */
  bool AdoptIfNewer(std::int64_t version, instant now);

  /**
   * Reports the version of a peer, as seen in a gossip digest, in a push that could not be applied,
   * or in a gossip exchange.
   */
  void OnPeerVersion(const std::string& host, std::int64_t version, instant now);

  /** Reports the result of a pull; nullopt if the peer did not answer, 0 if it has no table. */
  void OnPullResult(const std::string& host, std::optional<std::int64_t> version, instant now);

  /**
   * Reports the result of the action read_store; nullopt if there was no answer, 0 if there is no
   * table.
   */
  void OnStoreReadResult(std::optional<std::int64_t> version, instant now);

  /** Returns the actions to carry out now. Call it after each report and at NextTimer(). */
  std::vector<distribution_action> Advance(instant now);
  /** Time of the next timeout or startup retry; nullopt if there is none. */
  std::optional<instant> NextTimer() const;

  /** Whether the startup is complete and there is a table; until then the host refuses requests. */
  bool IsReady() const { return ready_ && version_ > 0; }

  /** The current version; 0 if there is none. */
  std::int64_t version() const { return version_; }

 private:
  std::vector<std::string> RandomPeers(std::size_t count);
  void UpdateReadiness();

  random_source random_;
  std::vector<std::string> peers_;
  std::int64_t version_ = 0;
  /** The version up to which pushes were requested. */
  std::int64_t pushed_version_ = 0;
  /** Newest version of each peer that reported a newer one than `version_`. */
  std::map<std::string, std::int64_t> newer_peer_versions_;
  /** Deadlines of the pulls in flight. */
  std::map<std::string, instant> pull_deadlines_;
  // State of the startup: the peers that were asked and have not answered yet, and those that
  // answered with a table.
  bool ready_ = false;
  bool store_answered_ = false;
  bool store_pending_ = false;
  std::set<std::string> startup_peers_pending_;
  std::set<std::string> startup_peers_with_table_;
  instant next_startup_attempt_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_TABLE_DISTRIBUTOR_H_
