#ifndef LIMPETLEVER_MEMBERSHIP_MEMBER_ENTRY_H_
#define LIMPETLEVER_MEMBERSHIP_MEMBER_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "control/gossip_entry.h"
#include "membership/member.h"

namespace limpetlever {

/**
 * Encodes a member's state as a gossip entry with the key "member/NAME". The version is 4 x round +
 * precedence of the state (alive, suspect, leaving, dead in ascending order). Within a round the
 * state with the highest precedence therefore wins; the member itself refutes a suspicion with a
 * higher round.
 */
gossip_entry ToGossipEntry(const member& host, std::int64_t round);

/** Decodes a gossip entry; nullopt when it does not describe a member or is malformed. */
std::optional<member> ParseMember(const gossip_entry& entry);

/** Returns the refutation round of an entry that describes a member. */
std::int64_t RefutationRound(const gossip_entry& entry);

}  // namespace limpetlever

#endif  // LIMPETLEVER_MEMBERSHIP_MEMBER_ENTRY_H_
