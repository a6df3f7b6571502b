#ifndef LIMPETLEVER_CLAIMS_CLAIM_DECISION_H_
#define LIMPETLEVER_CLAIMS_CLAIM_DECISION_H_

#include <cstdint>
#include <optional>

#include "claims/claim_record.h"

namespace limpetlever {

/** Answer of a partition_journal to RequestClaim or RequestLookup. */
struct claim_decision {
  enum class decision_kind {
    /** The key is claimed; only this requester may send attempts. `record` is the claim. */
    granted,
    /**
     * No claim was granted. `record` is the current record of the key; a lookup finds none if the
     * key has no record.
     */
    current_record,
    /** The key-value service did not answer; no claim was granted, no attempt may be sent. */
    unavailable
  };
  /** As returned by RequestClaim or RequestLookup. */
  std::uint64_t ticket = 0;
  decision_kind kind = decision_kind::unavailable;
  std::optional<claim_record> record;

  bool operator==(const claim_decision&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CLAIMS_CLAIM_DECISION_H_
