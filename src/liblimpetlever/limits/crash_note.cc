#include "limits/crash_note.h"

#include <charconv>
#include <cstdio>
#include <string_view>

namespace limpetlever {

namespace {

constexpr std::string_view kPrefix = "crash/";
constexpr std::size_t kHexDigits = 16;
constexpr int kHexBase = 16;

}  // namespace

gossip_entry ToGossip(const crash_note& update) {
  char hex[kHexDigits + 1];
  std::snprintf(hex, sizeof hex, "%016llx", static_cast<unsigned long long>(update.fingerprint));
  return {.key = std::string(kPrefix) + hex + "/" + update.server,
          .incarnation = 0,
          .version = update.at.time_since_epoch().count(),
          .value = update.server.empty() ? "completed" : "mark"};
}

std::optional<crash_note> CrashNoteOf(const gossip_entry& entry) {
  constexpr std::size_t kServerAt = kPrefix.size() + kHexDigits + 1;
  if (!entry.key.starts_with(kPrefix) || entry.key.size() < kServerAt ||
      entry.key[kServerAt - 1] != '/' || entry.version < 0) {
    return std::nullopt;
  }
  crash_note update{.fingerprint = 0,
                    .server = entry.key.substr(kServerAt),
                    .at = wall_time(duration(entry.version))};
  const char* first = entry.key.data() + kPrefix.size();
  const char* last = first + kHexDigits;
  if (std::from_chars(first, last, update.fingerprint, kHexBase).ptr != last ||
      entry.value != (update.server.empty() ? "completed" : "mark")) {
    return std::nullopt;
  }
  return update;
}

}  // namespace limpetlever
