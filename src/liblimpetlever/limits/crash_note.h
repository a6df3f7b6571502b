#ifndef LIMPETLEVER_LIMITS_CRASH_NOTE_H_
#define LIMPETLEVER_LIMITS_CRASH_NOTE_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "base/time_types.h"
#include "control/gossip_entry.h"

namespace limpetlever {

/**
 * Update about a request that hosts exchange by gossip: a mark, if the request was in flight on
 * `server` when the server crashed, or, with an empty server, that the request completed. Only one
 * per fingerprint and server counts.
 */
struct crash_note {
  std::uint64_t fingerprint = 0;
  std::string server;
  wall_time at;

  auto operator<=>(const crash_note&) const = default;
};

/** Encodes an update; of two for the same fingerprint and server the later one wins. */
gossip_entry ToGossip(const crash_note& update);

/** Decodes an update; nullopt if the entry is of another kind or malformed. */
std::optional<crash_note> CrashNoteOf(const gossip_entry& entry);

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_CRASH_NOTE_H_
