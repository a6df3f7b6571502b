#ifndef LIMPETLEVER_MEMBERSHIP_MEMBER_H_
#define LIMPETLEVER_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>

namespace limpetlever {

/** State of a host as this host sees it. */
enum class member_state { alive, suspect, leaving, dead };

/** What the hosts of a fleet know about one of them. */
struct member {
  std::string name;
  std::string region;
  std::string data_centre;
  std::string http_address;
  std::string peer_address;
  /** Start time of the process in microseconds since 1970; a restarted host has a greater one. */
  std::int64_t incarnation = 0;
  member_state state = member_state::alive;
  /** Processor time that the host has, in thousandths of a core; 0 if not stated. */
  int processor_share = 0;

  bool operator==(const member&) const = default;
};

/** "alive", "suspect", "leaving" or "dead". */
const char* ToString(member_state state);

}  // namespace limpetlever

#endif  // LIMPETLEVER_MEMBERSHIP_MEMBER_H_
