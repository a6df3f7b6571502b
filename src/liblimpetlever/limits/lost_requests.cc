#include "limits/lost_requests.h"

#include <algorithm>

namespace limpetlever {

namespace {

// A dead server is known by its next connection, or by its entry, which goes after three heartbeats
// of 1.2 s.
constexpr duration kSuspicionTime = std::chrono::seconds(4);
// Bounds the memory while many connections are reset.
constexpr std::size_t kMostLost = 256;

}  // namespace

void lost_requests::Forget(instant now) {
  while (!lost_.empty() && (lost_.size() > kMostLost || now - lost_.front().at > kSuspicionTime)) {
    lost_.pop_front();
  }
}

void lost_requests::Add(const std::string& server, std::uint64_t fingerprint, instant now) {
  lost_.push_back({.server = server, .fingerprint = fingerprint, .at = now});
  Forget(now);
}

std::vector<std::uint64_t> lost_requests::TakeOf(const std::string& server, instant now) {
  Forget(now);
  std::vector<std::uint64_t> taken;
  for (const loss& item : lost_) {
    if (item.server == server) {
      taken.push_back(item.fingerprint);
    }
  }
  std::erase_if(lost_, [&server](const loss& item) { return item.server == server; });
  return taken;
}

}  // namespace limpetlever
