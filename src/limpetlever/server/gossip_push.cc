#include "server/gossip_push.h"

#include "server/cluster_state.h"
#include "transport/peer_codec.h"
#include "transport/peer_links.h"

namespace limpetlever {

void PushToLiveHosts(const cluster_state& state,
                     peer_links& links,
                     const std::vector<gossip_entry>& entries) {
  for (const member& host : state.members()) {
    if (host.state == member_state::alive && host.name != state.self().name) {
      links.SendEntries(host.peer_address, ToThrift(entries));
    }
  }
}

}  // namespace limpetlever
