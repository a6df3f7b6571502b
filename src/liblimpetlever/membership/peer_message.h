#ifndef LIMPETLEVER_MEMBERSHIP_PEER_MESSAGE_H_
#define LIMPETLEVER_MEMBERSHIP_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control/gossip_entry.h"

namespace limpetlever {

/** A datagram between hosts. */
struct peer_message {
  enum class kind_type {
    /** Asks for an answer at once. */
    ping,
    ack,
    /** Asks the receiver to ping `target` and to pass its answer on. */
    relay,
    /** News only. */
    news
  };
  kind_type kind = kind_type::news;
  /** Number of the probe, chosen by the host that asks. */
  std::uint64_t probe = 0;
  /** For relay: the peer address of the host to ping. */
  std::string target;
  /** The store's revision up to which the sender knows all changes. */
  std::int64_t revision = 0;
  std::vector<gossip_entry> updates;

  bool operator==(const peer_message&) const = default;
};

std::string EncodePeerMessage(const peer_message& message);
/** nullopt for bytes that are no message of this form. */
std::optional<peer_message> DecodePeerMessage(std::string_view bytes);

}  // namespace limpetlever

#endif  // LIMPETLEVER_MEMBERSHIP_PEER_MESSAGE_H_
