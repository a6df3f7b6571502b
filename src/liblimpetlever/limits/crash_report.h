#ifndef LIMPETLEVER_LIMITS_CRASH_REPORT_H_
#define LIMPETLEVER_LIMITS_CRASH_REPORT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "base/time_types.h"
#include "control/gossip_entry.h"

namespace limpetlever {

/**
 * Report about a request that hosts exchange by gossip: a mark, if the request was in flight on
 * `server` when the server crashed, or, with an empty server, that the request completed. Only one
 * per fingerprint and server counts.
 */
struct crash_report {
  std::uint64_t fingerprint = 0;
  std::string server;
  wall_time at;

  auto operator<=>(const crash_report&) const = default;
};

/** Encodes a report; of two for the same fingerprint and server the later one wins. */
gossip_entry ToGossipEntry(const crash_report& report);

/** Decodes a report; nullopt if the entry is of another kind or malformed. */
std::optional<crash_report> ParseCrashReport(const gossip_entry& entry);

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_CRASH_REPORT_H_
