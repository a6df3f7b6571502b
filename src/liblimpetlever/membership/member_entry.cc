#include "membership/member_entry.h"

#include <array>
#include <charconv>
#include <optional>

#include "base/bounded_number.h"
#include "base/socket_address.h"

namespace limpetlever {

namespace {

constexpr char kKeyPrefix[] = "member/";
constexpr char kSeparator = '\n';
// The last field, the processor share, is optional: older hosts do not send it.
constexpr std::size_t kMinFields = 4;
constexpr std::size_t kMaxFields = 5;
// Keys of the platform's store have at most 200 bytes.
constexpr std::size_t kMaxNameBytes = 200;
constexpr int kMaxProcessorShare = 1'024'000;  // 1,024 cores

/** 0 if `text` is empty, nullopt if it is not a processor share. */
std::optional<int> ParseProcessorShare(const std::string& text) {
  int share = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), share);
  const bool is_valid = error == std::errc() && end == text.data() + text.size() && share >= 0 &&
                        share <= kMaxProcessorShare;
  return text.empty() ? std::optional(0) : is_valid ? std::optional(share) : std::nullopt;
}

bool IsInRange(std::int64_t number) {
  return number >= 0 && number <= kMaxOutsideNumber;
}

}  // namespace

gossip_entry ToGossipEntry(const member& host, std::int64_t round) {
  return {.key = kKeyPrefix + host.name,
          .incarnation = host.incarnation,
          .version = round * 4 + static_cast<std::int64_t>(host.state),
          .value = host.region + kSeparator + host.data_centre + kSeparator + host.http_address +
                   kSeparator + host.peer_address +
                   (host.processor_share > 0 ? kSeparator + std::to_string(host.processor_share)
                                             : std::string())};
}

std::optional<member> ParseMember(const gossip_entry& entry) {
  constexpr std::size_t kNameAt = sizeof(kKeyPrefix) - 1;
  if (!entry.key.starts_with(kKeyPrefix) || entry.key.size() == kNameAt ||
      entry.key.size() > kNameAt + kMaxNameBytes || !IsInRange(entry.version) ||
      !IsInRange(entry.incarnation)) {
    return std::nullopt;
  }
  std::array<std::string, kMaxFields> fields;
  std::size_t index = 0;
  for (const char c : entry.value) {
    if (c != kSeparator) {
      fields[index].push_back(c);
    } else if (++index == fields.size()) {
      return std::nullopt;
    }
  }
  if (index + 1 < kMinFields) {
    return std::nullopt;
  }
  const auto processor_share = ParseProcessorShare(fields[4]);
  if (!processor_share || !ParseSocketAddress(fields[2]) || !ParseSocketAddress(fields[3])) {
    return std::nullopt;
  }
  return member{.name = entry.key.substr(kNameAt),
                .region = fields[0],
                .data_centre = fields[1],
                .http_address = fields[2],
                .peer_address = fields[3],
                .incarnation = entry.incarnation,
                .state = static_cast<member_state>(entry.version % 4),
                .processor_share = *processor_share};
}

std::int64_t RefutationRound(const gossip_entry& entry) {
  return entry.version / 4;
}

}  // namespace limpetlever
