#ifndef LIMPETLEVER_MEMBERSHIP_MEMBER_H_
#define LIMPETLEVER_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>

namespace limpetlever {

/** How this host regards another one. */
enum class member_state { alive, suspect, leaving, dead };

/** An entry host as the others know it. */
struct member {
  std::string name;
  std::string region;
  std::string data_centre;
  std::string http_address;
  std::string peer_address;
  /** Start time of the process in microseconds since 1970; a restarted host has a greater one. */
  std::int64_t incarnation = 0;
  member_state state = member_state::alive;
  /** Processor time that the host has, in thousandths of a core; 0 if it did not say. */
  int processor_share = 0;

  bool operator==(const member&) const = default;
};

/** "alive", "suspect", "leaving" or "dead". */
const char* ToString(member_state state);

}  // namespace limpetlever

#endif  // LIMPETLEVER_MEMBERSHIP_MEMBER_H_
