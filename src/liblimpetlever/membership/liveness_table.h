#ifndef LIMPETLEVER_MEMBERSHIP_LIVENESS_TABLE_H_
#define LIMPETLEVER_MEMBERSHIP_LIVENESS_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/time_types.h"

namespace limpetlever {

/**
 * When each host was last known to be running. Hosts attach reports from this table to their probes
 * and acks; a report names hosts with the age of their last sign of life, and its sender with age
 * zero. A host that has ended is named by nobody after kTimeout, however many have ended with it,
 * while probes need longer to find each of them the more hosts there are and the fewer are left.
 *
 * Hosts are identified by 30 bits of the hash of their names. Not safe for concurrent use.
 */
class liveness_table {
 public:
  /** Longest time without a sign of life after which a host is not taken for ended. */
  static constexpr duration kTimeout = std::chrono::seconds(5);
  /** Number of hosts that a report names at most. */
  static constexpr std::size_t kMaxReported = 64;
  /** Number of hosts that are not in use among them, which replace those that have ended. */
  static constexpr std::size_t kMaxReportedSpare = 16;

  explicit liveness_table(std::string_view own_name);

  /** The hosts that callers use; a report names them before the others. */
  void SetHostsInUse(const std::vector<std::string>& names);
  /** A message of the host, which carries no report, was received at `received`. */
  void OnMessage(std::string_view name, instant received) { Record(IdOf(name), received); }
  /** Merges a report that was received at `received`; the part that is malformed is ignored. */
  void Merge(std::string_view report, instant received);
  /** The report for a message that is sent now. */
  std::string Report(instant now);
  /**
   * This process was paused for `pause`, in which it received nothing. Every host gets a part of
   * kTimeout to show that it is running.
   */
  void OnPause(duration pause, instant now);

  /** Whether the host has shown within kTimeout that it is running. True for this host. */
  bool IsLive(std::string_view name, instant now) const;
  /**
   * Whether reports name all hosts in use that are running, so that the others have ended. If there
   * are more of them than a report holds, a host that is not known to be live may still be running.
   */
  bool IsComplete(instant now) const;

 private:
  using host_id = std::uint32_t;

  static host_id IdOf(std::string_view name);
  void Record(host_id id, instant heard);
  void ForgetSilent(instant now);

  const host_id own_;
  std::unordered_set<host_id> in_use_;
  std::unordered_map<host_id, instant> heard_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_MEMBERSHIP_LIVENESS_TABLE_H_
