#ifndef LIMPETLEVER_CLAIMS_JOURNAL_OPERATION_H_
#define LIMPETLEVER_CLAIMS_JOURNAL_OPERATION_H_

#include <cstdint>

#include "claims/claim_record.h"

namespace limpetlever {

/** Pending operation of a partition_journal: a claim, the record of an outcome or a lookup. */
struct journal_operation {
  enum class operation_kind { claim, record, lookup };
  operation_kind kind = operation_kind::claim;
  /** Ticket of a claim or lookup; 0 for a record. */
  std::uint64_t ticket = 0;
  /** The record to write; for a lookup only its key is set. */
  claim_record record;
  /**
   * Reads of the partition are numbered from 1. A read with a lower number than this one began
   * before the operation was requested, so its result may be out of date.
   */
  std::uint64_t min_read_number = 0;
  /** Whether the requester called Abandon. A claim that is granted nonetheless is released. */
  bool is_abandoned = false;
  /** Whether an unconfirmed write of it was sent, which may still take effect. */
  bool is_write_attempted = false;

  bool operator==(const journal_operation&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CLAIMS_JOURNAL_OPERATION_H_
