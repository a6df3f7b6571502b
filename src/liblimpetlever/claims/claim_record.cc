#include "claims/claim_record.h"

#include "base/hash.h"

namespace limpetlever {

bool IsExpired(const claim_record& record, wall_time wall) {
  return wall > record.expiry + kClockSkewMargin;
}

std::string JournalKey(std::string_view workload, std::string_view key) {
  // Workload names contain no slash, so the first slash ends the workload.
  return std::string(workload) + "/" + std::string(key);
}

int ClaimPartitionIndex(std::string_view journal_key) {
  return static_cast<int>(Hash(journal_key) % kClaimPartitionCount);
}

}  // namespace limpetlever
