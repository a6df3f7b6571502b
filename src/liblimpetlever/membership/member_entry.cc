#include "membership/member_entry.h"

#include <array>
#include <charconv>

namespace limpetlever {

namespace {

constexpr char kKeyPrefix[] = "member/";
constexpr char kSeparator = '\n';
// The last field, the processor share, is optional: older hosts do not send it.
constexpr std::size_t kMinFields = 4;
constexpr std::size_t kMaxFields = 5;

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
  if (!entry.key.starts_with(kKeyPrefix) || entry.version < 0) {
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
  int processor_share = 0;
  std::from_chars(fields[4].data(), fields[4].data() + fields[4].size(), processor_share);
  return member{.name = entry.key.substr(sizeof(kKeyPrefix) - 1),
                .region = fields[0],
                .data_centre = fields[1],
                .http_address = fields[2],
                .peer_address = fields[3],
                .incarnation = entry.incarnation,
                .state = static_cast<member_state>(entry.version % 4),
                .processor_share = processor_share};
}

std::int64_t RefutationRound(const gossip_entry& entry) {
  return entry.version / 4;
}

}  // namespace limpetlever
