#include "limits/lost_requests.h"

#include <algorithm>

namespace limpetlever {

namespace {

// A crashed server is detected by a refused connection, or by its registration, which ends about
// 5 s later: three heartbeats of 1.2 s, the lag of the list and the pause between two watches. A
// store that is slow adds seconds.
constexpr duration kCrashSuspicionWindow = std::chrono::seconds(12);
// Bounds the memory to about 500 KB. A host that loses the answers of 300 attempts a second, as
// when half the servers of 90 shards reset connections, keeps the requests of the whole window,
// with two fingerprints each.
constexpr std::size_t kMaxLostRequests = 8000;

}  // namespace

void lost_requests::RemoveExpired(instant now) {
  while (!lost_.empty() &&
         (lost_.size() > kMaxLostRequests || now - lost_.front().at > kCrashSuspicionWindow)) {
    lost_.pop_front();
  }
}

void lost_requests::Add(const std::string& server, std::uint64_t fingerprint, instant now) {
  lost_.push_back({.server = server, .fingerprint = fingerprint, .at = now});
  RemoveExpired(now);
}

std::vector<std::uint64_t> lost_requests::TakeForServer(const std::string& server, instant now) {
  RemoveExpired(now);
  std::vector<std::uint64_t> taken;
  for (const lost_request& item : lost_) {
    if (item.server == server) {
      taken.push_back(item.fingerprint);
    }
  }
  std::erase_if(lost_, [&server](const lost_request& item) { return item.server == server; });
  return taken;
}

}  // namespace limpetlever
