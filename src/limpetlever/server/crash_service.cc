#include "server/crash_service.h"

#include <optional>

#include "control/gossip_map.h"
#include "events/event_log.h"
#include "transport/monotonic_clock.h"

namespace limpetlever {

namespace {

constexpr std::size_t kMaxFingerprints = 65'536;

}  // namespace

crash_service::crash_service(gossip_map& gossip, event_log& events)
    : gossip_(gossip), events_(events), guard_(kMaxFingerprints) {}

void crash_service::OnServerCrash(const std::string& server,
                                  const std::vector<std::uint64_t>& fingerprints) {
  std::vector<crash_report> updates;
  {
    const std::lock_guard lock(mutex_);
    updates = guard_.OnServerCrash(server, fingerprints, WallNow());
  }
  events_.Record(event_number::replica_died,
                 {{"replica", server}, {"in_flight", std::to_string(fingerprints.size())}});
  Publish(updates);
}

void crash_service::OnCompleted(std::uint64_t fingerprint) {
  std::optional<crash_report> update;
  {
    const std::lock_guard lock(mutex_);
    update = guard_.OnCompleted(fingerprint, WallNow());
  }
  if (update) {
    Publish({*update});
  }
}

void crash_service::Publish(const std::vector<crash_report>& updates) {
  std::vector<gossip_entry> entries;
  for (const crash_report& update : updates) {
    entries.push_back(ToGossipEntry(update));
    gossip_.Put(entries.back());
  }
  // The periodic exchange alone is too slow: a caller may send the request again, to a third
  // server, before the marks reach the owner of that server.
  if (push_ && !entries.empty()) {
    push_(entries);
  }
}

void crash_service::OnGossipEntry(const gossip_entry& entry) {
  if (const auto update = ParseCrashReport(entry)) {
    const std::lock_guard lock(mutex_);
    guard_.Merge(*update, WallNow());
  }
}

void crash_service::OnQueryLostServers(std::uint64_t fingerprint) {
  std::vector<crash_report> updates;
  {
    const std::lock_guard lock(mutex_);
    // Marks under two different names block a fingerprint. The names are arbitrary here: the marks
    // of the shards' own fingerprints hold the names of the servers.
    for (const char* server : {"first-shard", "second-shard"}) {
      for (crash_report& update : guard_.OnServerCrash(server, {fingerprint}, WallNow())) {
        updates.push_back(std::move(update));
      }
    }
  }
  Publish(updates);
}

bool crash_service::IsCrashSuspect(std::uint64_t fingerprint, const std::string& server) const {
  const std::lock_guard lock(mutex_);
  return guard_.IsCrashSuspect(fingerprint, server, WallNow());
}

bool crash_service::IsBlocked(std::uint64_t fingerprint) const {
  const std::lock_guard lock(mutex_);
  return guard_.IsBlocked(fingerprint, WallNow());
}

}  // namespace limpetlever
