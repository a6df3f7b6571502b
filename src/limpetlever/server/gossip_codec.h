#ifndef LIMPETLEVER_SERVER_GOSSIP_CODEC_H_
#define LIMPETLEVER_SERVER_GOSSIP_CODEC_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "ownership/ownership_view.h"
#include "routing/replica_status.h"

namespace limpetlever {

/** The statuses as the JSON value of a gossip entry. */
std::string FormatReplicaStatuses(const std::vector<replica_status>& statuses);
/** Parses what FormatReplicaStatuses wrote; fails with invalid_input if the text is malformed. */
result<std::vector<replica_status>> ParseReplicaStatuses(const std::string& text);
/**
 * The newest views of a region as the JSON value of a gossip entry, in ascending order of epoch, so
 * that hosts can adopt one after the other.
 */
std::string FormatOwnershipViews(const std::vector<ownership_view>& views);
/** Parses what FormatOwnershipViews wrote; fails if the text is malformed or has no view. */
result<std::vector<ownership_view>> ParseOwnershipViews(const std::string& text);

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_GOSSIP_CODEC_H_
