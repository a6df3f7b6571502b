#ifndef LIMPETLEVER_CLAIMS_CLAIM_RECORD_H_
#define LIMPETLEVER_CLAIMS_CLAIM_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/time_types.h"
#include "claims/claim_state.h"

namespace limpetlever {

/** Retention period of a key, counted from its claim. */
inline constexpr duration kKeyLifetime = std::chrono::hours(24);
/**
 * Largest difference assumed between the wall clocks of two hosts. A record is deleted only this
 * long after its expiry, and no attempt is dispatched within this time before it. So a host with a
 * fast clock cannot free a key for which a host with a slow clock still dispatches an attempt.
 */
inline constexpr duration kClockSkewMargin = std::chrono::minutes(5);
/** Longest key that a caller may use. With kMaxResultBytes it bounds the size of a record. */
inline constexpr std::size_t kMaxKeyBytes = 256;
/**
 * Largest result that is stored. If the result is larger, a caller that resends the request learns
 * that it ran, without its result.
 */
inline constexpr std::size_t kMaxResultBytes = 16 * 1024;

/** Entry of the claim journal for one key. */
struct claim_record {
  /** Key in the journal, see JournalKey. */
  std::string key;
  /** See SubmissionFingerprint; another fingerprint under the same key is refused. */
  std::uint64_t fingerprint = 0;
  /** Unique over all claims of all processes. */
  std::string claim_id;
  claim_state state = claim_state::claimed;
  /** The backend server's answer if `state` is ran and it has at most kMaxResultBytes. */
  std::string result;
  /** Whether the answer was larger than kMaxResultBytes and `result` is empty for that reason. */
  bool is_result_dropped = false;
  wall_time expiry;

  bool operator==(const claim_record&) const = default;
};

/** Whether the record may be deleted at `wall`: it expired more than kClockSkewMargin ago. */
bool IsExpired(const claim_record& record, wall_time wall);

/** The journal's key of a request. The caller's keys in different workloads do not collide. */
std::string JournalKey(std::string_view workload, std::string_view key);

/**
 * Number of partitions, each stored as one value of the key-value service. At 10 writes a second
 * each, all partitions together write 160 times a second.
 */
inline constexpr int kClaimPartitionCount = 16;

/** The index of the partition that holds a journal key, from 0 to kClaimPartitionCount - 1. */
int ClaimPartitionIndex(std::string_view journal_key);

}  // namespace limpetlever

#endif  // LIMPETLEVER_CLAIMS_CLAIM_RECORD_H_
