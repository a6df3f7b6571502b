#include "control/gossip_map.h"

#include <utility>

#include "base/hash.h"

namespace limpetlever {

namespace {

std::uint64_t VersionHash(const gossip_entry& entry) {
  return CombineHashes(
      CombineHashes(Hash(entry.key), static_cast<std::uint64_t>(entry.incarnation)),
      static_cast<std::uint64_t>(entry.version));
}

}  // namespace

void gossip_map::SetListener(listener on_change) {
  const std::lock_guard lock(mutex_);
  on_change_ = std::move(on_change);
}

bool gossip_map::Put(const gossip_entry& entry) {
  listener on_change;
  {
    const std::lock_guard lock(mutex_);
    const auto [known, is_new] = entries_.try_emplace(entry.key, entry);
    if (!is_new) {
      if (!IsNewer(entry, known->second)) {
        return false;
      }
      digest_hash_ ^= VersionHash(known->second);
      known->second = entry;
    }
    // Exclusive or makes the hash independent of the order of changes, and lets each change
    // update it in constant time.
    digest_hash_ ^= VersionHash(entry);
    on_change = on_change_;
  }
  if (on_change) {
    on_change(entry);
  }
  return true;
}

gossip_digest gossip_map::Digest() const {
  const std::lock_guard lock(mutex_);
  gossip_digest digest;
  digest.reserve(entries_.size());
  for (const auto& [key, entry] : entries_) {
    digest.push_back(
        {.key = key, .incarnation = entry.incarnation, .version = entry.version, .value = {}});
  }
  return digest;
}

std::uint64_t gossip_map::DigestHash() const {
  const std::lock_guard lock(mutex_);
  return digest_hash_;
}

std::vector<gossip_entry> gossip_map::EntriesNewerThan(const gossip_digest& digest) const {
  std::map<std::string, const gossip_entry*> remote;
  for (const gossip_entry& entry : digest) {
    remote.emplace(entry.key, &entry);
  }
  const std::lock_guard lock(mutex_);
  std::vector<gossip_entry> newer;
  for (const auto& [key, entry] : entries_) {
    const auto known = remote.find(key);
    if (known == remote.end() || IsNewer(entry, *known->second)) {
      newer.push_back(entry);
    }
  }
  return newer;
}

std::vector<std::string> gossip_map::KeysOlderThan(const gossip_digest& digest) const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> older;
  for (const gossip_entry& remote : digest) {
    const auto known = entries_.find(remote.key);
    if (known == entries_.end() || IsNewer(remote, known->second)) {
      older.push_back(remote.key);
    }
  }
  return older;
}

std::vector<gossip_entry> gossip_map::Get(const std::vector<std::string>& keys) const {
  const std::lock_guard lock(mutex_);
  std::vector<gossip_entry> found;
  for (const std::string& key : keys) {
    const auto entry = entries_.find(key);
    if (entry != entries_.end()) {
      found.push_back(entry->second);
    }
  }
  return found;
}

std::vector<gossip_entry> gossip_map::EntriesWithPrefix(const std::string& prefix) const {
  const std::lock_guard lock(mutex_);
  std::vector<gossip_entry> found;
  for (auto entry = entries_.lower_bound(prefix);
       entry != entries_.end() && entry->first.starts_with(prefix); ++entry) {
    found.push_back(entry->second);
  }
  return found;
}

}  // namespace limpetlever
