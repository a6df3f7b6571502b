#ifndef LIMPETLEVER_SERVER_GOSSIP_CODEC_H_
#define LIMPETLEVER_SERVER_GOSSIP_CODEC_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "ownership/ownership_view.h"
#include "routing/replica_status.h"

namespace limpetlever {

/** JSON forms of the values that travel as gossip entries. */
std::string FormatReplicaStatuses(const std::vector<replica_status>& statuses);
result<std::vector<replica_status>> ParseReplicaStatuses(const std::string& text);
/** The newest views of a region in ascending order of epoch, so that hosts can adopt each in turn.
 */
std::string FormatOwnershipViews(const std::vector<ownership_view>& views);
result<std::vector<ownership_view>> ParseOwnershipViews(const std::string& text);

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_GOSSIP_CODEC_H_
