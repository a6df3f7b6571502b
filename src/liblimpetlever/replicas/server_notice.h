#ifndef LIMPETLEVER_REPLICAS_SERVER_NOTICE_H_
#define LIMPETLEVER_REPLICAS_SERVER_NOTICE_H_

#include <optional>

#include "base/time_types.h"

namespace limpetlever {

/** What an answer of a backend server says of the requests that the server wants from now on. */
struct server_notice {
  /** The server is about to leave and wants no new request. */
  bool is_leaving = false;
  /** The server rejected the request and wants none from this host for this long. */
  std::optional<duration> pause;

  bool operator==(const server_notice&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_REPLICAS_SERVER_NOTICE_H_
