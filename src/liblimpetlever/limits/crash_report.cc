#include "limits/crash_report.h"

#include <charconv>
#include <cstdio>
#include <string_view>

#include "base/bounded_number.h"

namespace limpetlever {

namespace {

constexpr std::string_view kPrefix = "crash/";
constexpr std::size_t kHexDigits = 16;
constexpr int kHexBase = 16;
// Keys of the platform's store have at most 200 bytes.
constexpr std::size_t kMaxKeyBytes = 200;

}  // namespace

gossip_entry ToGossipEntry(const crash_report& report) {
  char hex[kHexDigits + 1];
  std::snprintf(hex, sizeof hex, "%016llx", static_cast<unsigned long long>(report.fingerprint));
  return {.key = std::string(kPrefix) + hex + "/" + report.server,
          .incarnation = 0,
          .version = report.at.time_since_epoch().count(),
          .value = report.server.empty() ? "completed" : "mark"};
}

std::optional<crash_report> ParseCrashReport(const gossip_entry& entry) {
  constexpr std::size_t kServerAt = kPrefix.size() + kHexDigits + 1;
  if (!entry.key.starts_with(kPrefix) || entry.key.size() < kServerAt ||
      entry.key.size() > kMaxKeyBytes || entry.key[kServerAt - 1] != '/' || entry.version < 0 ||
      entry.version > kMaxOutsideNumber) {
    return std::nullopt;
  }
  crash_report report{.fingerprint = 0,
                      .server = entry.key.substr(kServerAt),
                      .at = wall_time(duration(entry.version))};
  const char* first = entry.key.data() + kPrefix.size();
  const char* last = first + kHexDigits;
  if (std::from_chars(first, last, report.fingerprint, kHexBase).ptr != last ||
      entry.value != (report.server.empty() ? "completed" : "mark")) {
    return std::nullopt;
  }
  return report;
}

}  // namespace limpetlever
