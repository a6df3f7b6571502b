#ifndef LIMPETLEVER_CONTROL_GOSSIP_MAP_H_
#define LIMPETLEVER_CONTROL_GOSSIP_MAP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "control/gossip_entry.h"

namespace limpetlever {

/** All entries of a gossip map without their values, for comparing the maps of two hosts. */
using gossip_digest = std::vector<gossip_entry>;

/**
 * Holds the newest gossip entry of each key. The map is kept in memory only; after a restart it is
 * filled again by the other hosts. Safe for concurrent use.
 */
class gossip_map {
 public:
  using listener = std::function<void(const gossip_entry&)>;

  /** `on_change` is called, without the lock held, for each entry that Put() has stored. */
  void SetListener(listener on_change);

  /** Stores the entry if it is newer than that of the same key; returns whether it was stored. */
  bool Put(const gossip_entry& entry);

  gossip_digest Digest() const;

  /**
   * Hash of all keys and versions, updated with each change. Equal maps have equal hashes, so hosts
   * whose maps do not differ exchange only this number instead of a digest.
   */
  std::uint64_t DigestHash() const;

  /** Entries that are newer than those in `digest` or absent from it. */
  std::vector<gossip_entry> EntriesNewerThan(const gossip_digest& digest) const;

  /** Keys that `digest` has in a newer version, or that are absent here. */
  std::vector<std::string> KeysOlderThan(const gossip_digest& digest) const;

  /** Entries of those `keys` that exist. */
  std::vector<gossip_entry> Get(const std::vector<std::string>& keys) const;
  /** Entries whose key begins with `prefix`, sorted by key. */
  std::vector<gossip_entry> EntriesWithPrefix(const std::string& prefix) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, gossip_entry> entries_;
  std::uint64_t digest_hash_ = 0;
  listener on_change_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_GOSSIP_MAP_H_
