#ifndef LIMPETLEVER_TRANSPORT_PEER_LINK_H_
#define LIMPETLEVER_TRANSPORT_PEER_LINK_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "peer_types.h"
#include "routing/attempt_id.h"
#include "routing/attempt_request.h"
#include "routing/attempt_result.h"

namespace limpetlever {

class peer_connection;

/** The send queues of one host and the connections to it. */
struct peer_link {
  std::string address;
  /** Protects all fields below except `sender`. */
  std::mutex mutex;
  /** Whether a task that sends the queued messages is posted or running. */
  bool is_scheduled = false;
  std::vector<attempt_request> attempts;
  std::vector<attempt_result> results;
  std::vector<attempt_id> cancels;
  std::vector<peer::GossipEntry> entries;
  /** Epochs for which this host has released the replicas that it lost. */
  std::vector<std::int64_t> released_epochs;
  /** Used only by the task that sends the queued messages. */
  std::unique_ptr<peer_connection> sender;
  /** Idle connections for calls that wait for a reply. */
  std::vector<std::unique_ptr<peer_connection>> idle_connections;
  /** When a failed message to the host was last reported. */
  std::optional<instant> failure_reported_at;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_PEER_LINK_H_
