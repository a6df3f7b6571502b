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
  std::vector<crash_report> reports;
  {
    const std::lock_guard lock(mutex_);
    reports = guard_.OnServerCrash(server, fingerprints, WallNow());
  }
  events_.Record(event_number::replica_died,
                 {{"replica", server}, {"in_flight", std::to_string(fingerprints.size())}});
  Share(reports);
}

void crash_service::OnCompleted(std::uint64_t fingerprint) {
  std::optional<crash_report> report;
  {
    const std::lock_guard lock(mutex_);
    report = guard_.OnCompleted(fingerprint, WallNow());
  }
  if (report) {
    Share({*report});
  }
}

void crash_service::Share(const std::vector<crash_report>& reports) {
  std::vector<gossip_entry> entries;
  for (const crash_report& report : reports) {
    entries.push_back(ToGossipEntry(report));
    gossip_.Put(entries.back());
  }
  // The request may be sent again to a third server before a gossip exchange reaches its owner.
  if (push_ && !entries.empty()) {
    push_(entries);
  }
}

void crash_service::OnGossipEntry(const gossip_entry& entry) {
  if (const auto report = ParseCrashReport(entry)) {
    const std::lock_guard lock(mutex_);
    guard_.Merge(*report, WallNow());
  }
}

void crash_service::OnQueryLost(std::uint64_t fingerprint) {
  std::vector<crash_report> reports;
  {
    const std::lock_guard lock(mutex_);
    // The servers were of two shards; the shards' own fingerprints carry the servers' names.
    for (const char* loss : {"first-shard", "second-shard"}) {
      for (crash_report& report : guard_.OnServerCrash(loss, {fingerprint}, WallNow())) {
        reports.push_back(std::move(report));
      }
    }
  }
  Share(reports);
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
