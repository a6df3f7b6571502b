#ifndef LIMPETLEVER_CLAIMS_CLAIM_JOURNAL_H_
#define LIMPETLEVER_CLAIMS_CLAIM_JOURNAL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/result.h"
#include "claims/claim_record.h"
#include "claims/sealed_segment.h"

namespace limpetlever {

/**
 * Value of one partition: its newest records and the list of its sealed segments. A record in
 * `records` takes precedence over one of the same key in a segment, and the record of a later
 * segment over that of an earlier one.
 */
struct claim_journal {
  /** The next segment gets this number or a higher one. */
  std::int64_t next_segment = 1;
  /** In ascending order of number. */
  std::vector<sealed_segment> sealed;
  /** By journal key. */
  std::map<std::string, claim_record> records;

  bool operator==(const claim_journal&) const = default;
};

/**
 * Removes the records and listed segments that are expired at `wall_now`. Returns these segments,
 * so that their values can be erased.
 */
std::vector<sealed_segment> DropExpired(claim_journal& journal, wall_time wall_now);

/** The JSON of the value of a partition or of a sealed segment, which has records only. */
std::string FormatClaimJournal(const claim_journal& journal);

/** Size of one record in the JSON of a journal, with its separator, in bytes. */
std::size_t FormattedRecordSize(const claim_record& record);

/** Parses the output of FormatClaimJournal. The message of a failure begins with `source`. */
result<claim_journal> ParseClaimJournal(const std::string& text, const std::string& source);

/** Key under which the key-value service holds a partition's journal. */
std::string PartitionKey(int partition);

/** Key under which the key-value service holds a sealed segment. */
std::string SegmentKey(int partition, std::int64_t number);

}  // namespace limpetlever

#endif  // LIMPETLEVER_CLAIMS_CLAIM_JOURNAL_H_
