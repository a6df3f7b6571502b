#ifndef LIMPETLEVER_MEMBERSHIP_PROBE_ACTION_H_
#define LIMPETLEVER_MEMBERSHIP_PROBE_ACTION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "control/gossip_entry.h"

namespace limpetlever {

/** A probe for the user of member_tracker to send; report its result to OnProbeResult by `id`. */
struct probe_action {
  std::uint64_t id = 0;
  /** Name of the member to probe. */
  std::string target;
  /** Name of the member that probes on behalf of this host; empty for a direct probe. */
  std::string relay;
  /** Member states to attach to the probe message. */
  std::vector<gossip_entry> updates;

  bool operator==(const probe_action&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_MEMBERSHIP_PROBE_ACTION_H_
