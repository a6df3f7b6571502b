#ifndef LIMPETLEVER_ROUTING_ATTEMPT_ID_H_
#define LIMPETLEVER_ROUTING_ATTEMPT_ID_H_

#include <compare>
#include <cstdint>
#include <string>

namespace limpetlever {

/** Identifies one attempt at one shard of one query; unique in the system. */
struct attempt_id {
  std::uint64_t query = 0;
  std::uint32_t shard = 0;
  std::uint32_t ordinal = 0;

  auto operator<=>(const attempt_id&) const = default;
};

/** Formats as "QUERY-SHARD-ORDINAL" with the query in hexadecimal; sent as X-Request-Id. */
std::string ToString(const attempt_id& id);

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_ATTEMPT_ID_H_
