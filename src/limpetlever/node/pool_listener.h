#ifndef LIMPETLEVER_NODE_POOL_LISTENER_H_
#define LIMPETLEVER_NODE_POOL_LISTENER_H_

#include <functional>
#include <string>

#include "base/time_types.h"

namespace limpetlever {

struct replica;

/** What the connections to backend servers find out about them. Unset functions are not called. */
struct pool_listener {
  /** A server has refused a connection. */
  std::function<void(const replica& server)> on_refused;
  /** A server has answered to a health check that it is cold for `left`, which was not known. */
  std::function<void(const std::string& id, duration left)> on_cold;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_POOL_LISTENER_H_
