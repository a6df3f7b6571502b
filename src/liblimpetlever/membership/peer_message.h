#ifndef LIMPETLEVER_MEMBERSHIP_PEER_MESSAGE_H_
#define LIMPETLEVER_MEMBERSHIP_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/gossip_entry.h"
#include "control/store_position.h"

namespace limpetlever {

/** A UDP datagram between hosts. */
struct peer_message {
  enum class kind_type {
    /** Probes the receiver, which answers with an ack at once. */
    ping,
    /** Answers a ping, or passes on the answer of the target of a relay. */
    ack,
    /** Asks the receiver to ping `target` and to pass its ack on to the sender. */
    relay,
    /** Carries a position and updates; not answered. */
    update
  };
  kind_type kind = kind_type::update;
  /** Number of the probe, chosen by the sender of the ping or relay; an ack repeats it. */
  std::uint64_t probe_id = 0;
  /** For relay: the peer address of the host to ping. */
  std::string target;
  /** The point of the key-value store's history up to which the sender has seen all changes. */
  store_position position;
  std::vector<gossip_entry> updates;
  /** A report of liveness_table; empty in messages that carry none. */
  std::string liveness_report;

  bool operator==(const peer_message&) const = default;
};

std::string EncodePeerMessage(const peer_message& message);
/** nullopt when the bytes are not a message in the format of EncodePeerMessage. */
std::optional<peer_message> DecodePeerMessage(std::string_view bytes);

}  // namespace limpetlever

#endif  // LIMPETLEVER_MEMBERSHIP_PEER_MESSAGE_H_
