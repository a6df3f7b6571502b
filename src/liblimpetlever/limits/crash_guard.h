#ifndef LIMPETLEVER_LIMITS_CRASH_GUARD_H_
#define LIMPETLEVER_LIMITS_CRASH_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time_types.h"
#include "limits/crash_report.h"

namespace limpetlever {

/**
 * Blocks requests that crash backend servers. A request, identified by its fingerprint, gets a mark
 * for each server that crashed while running it; marks for two different servers block it, so that
 * it does not reach a third. Marks are shared between hosts and therefore use wall-clock time. Not
 * thread-safe.
 */
class crash_guard {
 public:
  /** Keeps at most `capacity` fingerprints with marks, and as many completed ones. */
  explicit crash_guard(std::size_t capacity);

  /**
   * `server` crashed while `fingerprints` were in flight on it. Returns the new marks, which must
   * be sent to all hosts.
   */
  std::vector<crash_report> OnServerCrash(const std::string& server,
                                          const std::vector<std::uint64_t>& fingerprints,
                                          wall_time now);
  /** A request completed. If this cleared marks, returns a report to be sent to all hosts. */
  std::optional<crash_report> OnCompleted(std::uint64_t fingerprint, wall_time now);
  /** Applies a report of another host; idempotent and independent of the order of delivery. */
  void Merge(const crash_report& report, wall_time now);

  bool IsBlocked(std::uint64_t fingerprint, wall_time now) const;
  /** Whether a server other than `server` crashed while the request was in flight on it. */
  bool IsCrashSuspect(std::uint64_t fingerprint, const std::string& server, wall_time now) const;
  std::size_t size() const { return marks_.size() + completed_.size(); }

 private:
  /** Time of the mark by server; at most kMarksToBlock are kept. */
  using server_marks = std::map<std::string, wall_time>;
  void RecordCompletion(std::uint64_t fingerprint, wall_time at, wall_time now);
  bool HasCompleted(std::uint64_t fingerprint, wall_time now) const;
  bool AddMark(const crash_report& report, wall_time now);
  void RemoveExpired(wall_time now);

  const std::size_t capacity_;
  std::unordered_map<std::uint64_t, server_marks> marks_;
  std::unordered_map<std::uint64_t, wall_time> completed_;
  wall_time expired_removed_at_{};
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_CRASH_GUARD_H_
