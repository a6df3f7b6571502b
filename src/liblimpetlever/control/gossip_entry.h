#ifndef LIMPETLEVER_CONTROL_GOSSIP_ENTRY_H_
#define LIMPETLEVER_CONTROL_GOSSIP_ENTRY_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace limpetlever {

/**
 * A versioned value that is replicated to all hosts by gossip and held in memory only; of two
 * entries with the same key the one with the greater (incarnation, version) wins.
 */
struct gossip_entry {
  std::string key;
  std::int64_t incarnation = 0;
  std::int64_t version = 0;
  std::string value;

  bool operator==(const gossip_entry&) const = default;
};

/** Whether `a` replaces `b`, which has the same key. */
inline bool IsNewer(const gossip_entry& a, const gossip_entry& b) {
  return std::tie(a.incarnation, a.version) > std::tie(b.incarnation, b.version);
}

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_GOSSIP_ENTRY_H_
