#ifndef LIMPETLEVER_CONFIG_CALLER_LIMITS_H_
#define LIMPETLEVER_CONFIG_CALLER_LIMITS_H_

#include <cstddef>

#include "base/time_types.h"

namespace limpetlever {

/** Limits on a caller's requests. The defaults apply until the first configuration arrives. */
struct caller_limits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 262'144;
  duration header_timeout = std::chrono::seconds(3);
  duration idle_timeout = std::chrono::seconds(15);

  bool operator==(const caller_limits&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONFIG_CALLER_LIMITS_H_
