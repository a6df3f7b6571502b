#ifndef LIMPETLEVER_CLAIMS_PARTITION_JOURNAL_H_
#define LIMPETLEVER_CLAIMS_PARTITION_JOURNAL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "base/result.h"
#include "base/time_types.h"
#include "claims/claim_decision.h"
#include "claims/claim_journal.h"
#include "claims/claim_rules.h"
#include "claims/journal_operation.h"
#include "claims/store_call.h"
#include "control/key_value_store.h"

namespace limpetlever {

/** Minimum time between writes of one partition; 16 partitions write at most 160 times a second. */
inline constexpr duration kMinWriteInterval = std::chrono::milliseconds(100);
/**
 * The records of a journal move to a segment when its value exceeds this size. With one more batch
 * the value stays well below the 1 MB that the key-value service accepts.
 */
inline constexpr std::size_t kSealThresholdBytes = 384 * 1024;
/** Operations are added to a write until the total size of their records exceeds this. */
inline constexpr std::size_t kMaxBatchBytes = 256 * 1024;
/** Backoff after failed calls to the key-value service: doubles from the minimum to the maximum. */
inline constexpr duration kMinBackoff = std::chrono::milliseconds(100);
inline constexpr duration kMaxBackoff = std::chrono::seconds(5);
/**
 * With this many operations pending, further outcomes are dropped. The key of a dropped outcome is
 * reported as "may have run".
 */
inline constexpr std::size_t kMaxPendingOperations = 10'000;

/**
 * One host's view of one partition of the claim journal: decides what to read and write and which
 * claims are granted. Makes no calls itself: after every change the caller asks NextCall, makes the
 * call, reports its outcome with OnRead or OnWrite, and takes the decisions. At most one call is in
 * flight. `now` is the monotonic clock and `wall` the wall clock. Not thread-safe.
 *
 * A claim is released by RecordOutcome with claim_state::released, or because its requester called
 * Abandon: no attempt will be sent under it any more. Apart from expired claims, only a released
 * one is replaced, and only by a write: that write changes the revision, so an earlier write still
 * in flight to the store can no longer take effect.
 */
template <typename Rules>
class basic_partition_journal {
 public:
  /**
   * `process_name` must be unique to this run of this host, for example host name and incarnation:
   * claim ids begin with it.
   */
  basic_partition_journal(int partition, std::string process_name, std::uint64_t seed);

  /** Requests a claim. Returns a ticket; TakeDecisions returns the decision with this ticket. */
  std::uint64_t RequestClaim(const std::string& journal_key,
                             std::uint64_t fingerprint,
                             instant now,
                             wall_time wall);

  /**
   * Requests the record of a key. The decision rests on a read that starts after this call. Returns
   * a ticket, as RequestClaim.
   */
  std::uint64_t RequestLookup(const std::string& journal_key, instant now);

  /**
   * Ends the request with this ticket: it gets no decision. Its claim is released if it was granted
   * or is granted later.
   */
  void Abandon(std::uint64_t ticket);

  /**
   * Records the outcome of a granted claim. The state `released` means that the request did not run
   * and that no attempt will be dispatched under this claim.
   */
  void RecordOutcome(const claim_record& claim, claim_state state, const std::string& body);

  /** The call to make now, or nullopt. */
  std::optional<store_call> NextCall(instant now, wall_time wall);

  /** When to ask NextCall again even if nothing has changed, as of the last NextCall. */
  std::optional<instant> NextTimer() const { return next_timer_; }

  /** Reports the result of the read that NextCall returned; errc::not_found: there is no value. */
  void OnRead(const result<key_value_entry>& entry, instant now);

  /** Reports the result of the write that NextCall returned: the new revision. */
  void OnWrite(const result<std::int64_t>& revision, instant now);

  /** Returns the decisions made since the last call. */
  std::vector<claim_decision> TakeDecisions();

  /** Number of claims, outcomes and lookups that are not completed. */
  std::size_t pending() const { return pending_.size() + in_flight_.size(); }

 private:
  enum class call_state { none, read_head, read_segment, write_head, write_segment, erase_segment };
  struct cached_segment {
    claim_journal content;
    std::int64_t revision = 0;
  };
  using record_changes = std::map<std::string, claim_record>;

  /** The record of a key that is not expired, from `changed` or else the journal, or null. */
  const claim_record* FindRecord(const record_changes& changed,
                                 const std::string& key,
                                 wall_time wall) const;
  /**
   * Completes the pending operations that need no write. Adds the records to write to `changed` and
   * their operations to `applied`. Returns whether an operation needs a read first.
   */
  bool ResolvePending(record_changes& changed,
                      std::vector<journal_operation>& applied,
                      wall_time wall);
  /** As ResolvePending, for one operation. Returns whether it stays pending. */
  bool ResolveOperation(journal_operation& operation,
                        record_changes& changed,
                        std::vector<journal_operation>& applied,
                        wall_time wall,
                        bool& needs_read);
  std::optional<store_call> MakeWriteCall(const record_changes& changed,
                                          std::vector<journal_operation>& applied,
                                          instant now,
                                          wall_time wall);
  std::optional<store_call> MakeEraseCall(instant now);
  void CommitWrite(std::int64_t revision);
  void OnSegmentWritten(const result<std::int64_t>& revision);
  void AddDecision(std::uint64_t ticket,
                   claim_decision::decision_kind kind,
                   std::optional<claim_record> record);
  void ReleaseClaim(const claim_record& claim);
  void RequeueInFlight();
  void FailPending(instant now);

  const int partition_;
  const std::string process_name_;
  random_source random_;
  std::uint64_t next_id_ = 1;
  std::vector<journal_operation> pending_;
  /** Operations whose records the write in flight contains. */
  std::vector<journal_operation> in_flight_;
  std::vector<claim_decision> decisions_;
  /** Ids of claims that this process has released, until the journal records the release. */
  std::set<std::string> released_claims_;

  call_state call_ = call_state::none;
  std::int64_t call_segment_number_ = 0;
  /** The value of the partition at `head_revision_`, as last read or written. */
  claim_journal head_;
  std::int64_t head_revision_ = 0;
  std::size_t head_bytes_ = 0;
  /** Whether `head_` holds the value last known to be stored; if not, it is read first. */
  bool is_loaded_ = false;
  std::uint64_t reads_started_ = 0;
  /** Number of the last successful read of the partition; see journal_operation. */
  std::uint64_t last_read_number_ = 0;
  /** The segments listed by `head_` that have been read, by number. */
  std::map<std::int64_t, cached_segment> segments_;
  /** Number and revision of expired segments that the stored journal no longer lists. */
  std::vector<std::pair<std::int64_t, std::int64_t>> segments_to_erase_;

  /** The value that the write in flight replaces `head_` with. */
  claim_journal next_head_;
  std::size_t next_head_bytes_ = 0;
  /** Expired segments that `next_head_` no longer lists. */
  std::vector<sealed_segment> next_dropped_;
  /**
   * Segment that was written but that the stored journal does not list yet. It holds the journal's
   * records as of `new_segment_base_revision_`.
   */
  std::optional<sealed_segment> new_segment_;
  cached_segment new_segment_content_;
  std::int64_t new_segment_base_revision_ = 0;
  std::int64_t min_segment_number_ = 1;

  instant next_write_at_;
  instant retry_at_;
  duration backoff_{};
  std::optional<instant> next_timer_;
};

using partition_journal = basic_partition_journal<claim_rules>;

extern template class basic_partition_journal<claim_rules>;

}  // namespace limpetlever

#endif  // LIMPETLEVER_CLAIMS_PARTITION_JOURNAL_H_
