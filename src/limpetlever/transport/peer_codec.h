#ifndef LIMPETLEVER_TRANSPORT_PEER_CODEC_H_
#define LIMPETLEVER_TRANSPORT_PEER_CODEC_H_

#include <string>
#include <vector>

#include "control/gossip_entry.h"
#include "peer_types.h"
#include "routing/attempt_request.h"
#include "routing/attempt_result.h"

namespace limpetlever {

// Conversions between the types of the library and the messages of thrift/peer.thrift.

/** Bodies that several attempts share are sent once. */
peer::AttemptBatch ToThrift(const std::string& coordinator,
                            const std::vector<attempt_request>& attempts);
/** Omits attempts whose body index is out of range. */
std::vector<attempt_request> FromThrift(const peer::AttemptBatch& batch);
peer::ResultBatch ToThrift(const std::string& owner, const std::vector<attempt_result>& results);
std::vector<attempt_result> FromThrift(const peer::ResultBatch& batch);
peer::AttemptId ToThrift(const attempt_id& id);
attempt_id FromThrift(const peer::AttemptId& id);
std::vector<peer::GossipEntry> ToThrift(const std::vector<gossip_entry>& entries);
std::vector<gossip_entry> FromThrift(const std::vector<peer::GossipEntry>& entries);
/** Converts a state unknown to this version, sent by a newer host, to `may_have_run`. */
verdict ToVerdict(peer::RunState::type state, int error, const std::string& detail);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_PEER_CODEC_H_
