#ifndef LIMPETLEVER_SERVER_GOSSIP_PUSH_H_
#define LIMPETLEVER_SERVER_GOSSIP_PUSH_H_

#include <vector>

#include "control/gossip_entry.h"

namespace limpetlever {

class cluster_state;
class peer_links;

/**
 * Sends the entries to all other live hosts without waiting for them. For rare entries only, since
 * it sends one message to each host.
 */
void PushToLiveHosts(const cluster_state& state,
                     peer_links& links,
                     const std::vector<gossip_entry>& entries);

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_GOSSIP_PUSH_H_
