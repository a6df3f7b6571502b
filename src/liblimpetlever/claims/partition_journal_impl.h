#ifndef LIMPETLEVER_CLAIMS_PARTITION_JOURNAL_IMPL_H_
#define LIMPETLEVER_CLAIMS_PARTITION_JOURNAL_IMPL_H_

// Member definitions of basic_partition_journal, for sources that instantiate it with other rules.

#include <algorithm>
#include <utility>

#include "base/errc.h"
#include "claims/partition_journal.h"

namespace limpetlever {

template <typename Rules>
basic_partition_journal<Rules>::basic_partition_journal(int partition,
                                                        std::string process_name,
                                                        std::uint64_t seed)
    : partition_(partition), process_name_(std::move(process_name)), random_(seed) {}

template <typename Rules>
std::uint64_t basic_partition_journal<Rules>::RequestClaim(const std::string& journal_key,
                                                           std::uint64_t fingerprint,
                                                           instant now,
                                                           wall_time wall) {
  const std::uint64_t ticket = next_id_++;
  if (now < retry_at_) {
    // A person on the phone waits for the caller's answer: fail at once rather than wait until the
    // backoff ends.
    AddDecision(ticket, claim_decision::decision_kind::unavailable, {});
    return ticket;
  }
  claim_record record{
      .key = journal_key,
      .fingerprint = fingerprint,
      .claim_id = process_name_ + "-" + std::to_string(partition_) + "-" + std::to_string(ticket),
      .state = claim_state::claimed,
      .result = {},
      .is_result_dropped = false,
      .expiry = wall + kKeyLifetime};
  pending_.push_back({.kind = journal_operation::operation_kind::claim,
                      .ticket = ticket,
                      .record = std::move(record),
                      .min_read_number = reads_started_ + 1});
  return ticket;
}

template <typename Rules>
std::uint64_t basic_partition_journal<Rules>::RequestLookup(const std::string& journal_key,
                                                            instant now) {
  const std::uint64_t ticket = next_id_++;
  if (now < retry_at_) {
    AddDecision(ticket, claim_decision::decision_kind::unavailable, {});
    return ticket;
  }
  journal_operation operation{.kind = journal_operation::operation_kind::lookup,
                              .ticket = ticket,
                              .record = {},
                              .min_read_number = reads_started_ + 1};
  operation.record.key = journal_key;
  pending_.push_back(std::move(operation));
  return ticket;
}

template <typename Rules>
void basic_partition_journal<Rules>::Abandon(std::uint64_t ticket) {
  for (const claim_decision& decision : decisions_) {
    if (decision.ticket == ticket && decision.kind == claim_decision::decision_kind::granted) {
      ReleaseClaim(*decision.record);
    }
  }
  std::erase_if(decisions_, [&](const auto& decision) { return decision.ticket == ticket; });
  for (journal_operation& operation : in_flight_) {
    operation.is_abandoned = operation.is_abandoned || operation.ticket == ticket;
  }
  // An earlier write of a pending claim may have taken effect, so the operation stays pending until
  // its outcome is known.
  for (journal_operation& operation : pending_) {
    operation.is_abandoned = operation.is_abandoned || operation.ticket == ticket;
  }
}

template <typename Rules>
void basic_partition_journal<Rules>::ReleaseClaim(const claim_record& claim) {
  RecordOutcome(claim, claim_state::released, {});
}

template <typename Rules>
void basic_partition_journal<Rules>::RecordOutcome(const claim_record& claim,
                                                   claim_state state,
                                                   const std::string& body) {
  if (state == claim_state::released) {
    released_claims_.insert(claim.claim_id);
  }
  if (pending() >= kMaxPendingOperations) {
    return;
  }
  journal_operation operation{
      .kind = journal_operation::operation_kind::record, .ticket = 0, .record = claim};
  operation.record.state = state;
  operation.record.is_result_dropped = body.size() > kMaxResultBytes;
  if (!operation.record.is_result_dropped) {
    operation.record.result = body;
  }
  pending_.push_back(std::move(operation));
}

template <typename Rules>
const claim_record* basic_partition_journal<Rules>::FindRecord(const record_changes& changed,
                                                               const std::string& key,
                                                               wall_time wall) const {
  const claim_record* record = nullptr;
  if (const auto change = changed.find(key); change != changed.end()) {
    record = &change->second;
  } else if (const auto found = head_.records.find(key); found != head_.records.end()) {
    record = &found->second;
  } else {
    for (auto segment = head_.sealed.rbegin(); segment != head_.sealed.rend() && !record;
         ++segment) {
      const claim_journal& content = segments_.at(segment->number).content;
      if (const auto sealed = content.records.find(key); sealed != content.records.end()) {
        record = &sealed->second;
      }
    }
  }
  return record != nullptr && !IsExpired(*record, wall) ? record : nullptr;
}

template <typename Rules>
bool basic_partition_journal<Rules>::ResolveOperation(journal_operation& operation,
                                                      record_changes& changed,
                                                      std::vector<journal_operation>& applied,
                                                      wall_time wall,
                                                      bool& needs_read) {
  using operation_kind = journal_operation::operation_kind;
  using decision_kind = claim_decision::decision_kind;
  const claim_record* found = FindRecord(changed, operation.record.key, wall);
  const bool is_up_to_date = last_read_number_ >= operation.min_read_number;
  const auto apply = [&] {
    changed.insert_or_assign(operation.record.key, operation.record);
    applied.push_back(operation);
    return true;
  };
  if (operation.kind == operation_kind::lookup) {
    if (operation.is_abandoned) {
      return false;
    }
    if (!is_up_to_date) {
      needs_read = true;
      return true;
    }
    AddDecision(operation.ticket, decision_kind::current_record,
                found != nullptr ? std::optional(*found) : std::nullopt);
    return false;
  }
  const bool is_own_claim = found != nullptr && found->claim_id == operation.record.claim_id;
  if (operation.kind == operation_kind::record) {
    if (is_own_claim && found->state != operation.record.state) {
      return apply();
    }
    // A write whose answer was lost recorded it already, or the key belongs to another claim now.
    released_claims_.erase(operation.record.claim_id);
    return false;
  }
  if (is_own_claim) {
    if (operation.is_abandoned) {
      const claim_record claim = operation.record;
      ReleaseClaim(claim);
    } else {
      AddDecision(operation.ticket, decision_kind::granted, operation.record);
    }
    return false;
  }
  if (operation.is_abandoned) {
    return false;
  }
  if (found == nullptr || found->state == claim_state::released ||
      released_claims_.contains(found->claim_id) || !Rules::kReplacesOnlyReleased) {
    return apply();
  }
  if (found->state != claim_state::ran && !is_up_to_date) {
    needs_read = true;
    return true;
  }
  AddDecision(operation.ticket, decision_kind::current_record, *found);
  return false;
}

template <typename Rules>
bool basic_partition_journal<Rules>::ResolvePending(record_changes& changed,
                                                    std::vector<journal_operation>& applied,
                                                    wall_time wall) {
  bool needs_read = false;
  std::size_t bytes = 0;
  std::vector<journal_operation> operations = std::exchange(pending_, {});
  std::vector<journal_operation> kept;
  for (journal_operation& operation : operations) {
    if (bytes > kMaxBatchBytes) {
      kept.push_back(std::move(operation));
      continue;
    }
    const std::size_t before = applied.size();
    if (ResolveOperation(operation, changed, applied, wall, needs_read)) {
      if (applied.size() > before) {
        bytes += FormattedRecordSize(operation.record);
      }
      kept.push_back(std::move(operation));
    }
  }
  // ReleaseClaim may have added operations to pending_ in the loop.
  kept.insert(kept.end(), pending_.begin(), pending_.end());
  pending_ = std::move(kept);
  return needs_read;
}

template <typename Rules>
std::optional<store_call> basic_partition_journal<Rules>::NextCall(instant now, wall_time wall) {
  next_timer_.reset();
  if (call_ != call_state::none || (pending_.empty() && segments_to_erase_.empty())) {
    return std::nullopt;
  }
  if (now < retry_at_) {
    next_timer_ = retry_at_;
    return std::nullopt;
  }
  if (is_loaded_) {
    for (const sealed_segment& segment : head_.sealed) {
      if (!segments_.contains(segment.number)) {
        call_ = call_state::read_segment;
        call_segment_number_ = segment.number;
        return store_call{.kind = store_call::call_kind::read,
                          .key = SegmentKey(partition_, segment.number),
                          .value = {},
                          .revision = 0};
      }
    }
  }
  record_changes changed;
  std::vector<journal_operation> applied;
  if (!is_loaded_ || ResolvePending(changed, applied, wall)) {
    call_ = call_state::read_head;
    ++reads_started_;
    return store_call{.kind = store_call::call_kind::read,
                      .key = PartitionKey(partition_),
                      .value = {},
                      .revision = 0};
  }
  if (applied.empty() && segments_to_erase_.empty()) {
    if (!pending_.empty()) {
      // Added by ReleaseClaim while resolving; the next NextCall writes or drops it.
      next_timer_ = now;
    }
    return std::nullopt;
  }
  if (now < next_write_at_) {
    next_timer_ = next_write_at_;
    return std::nullopt;
  }
  next_write_at_ = now + kMinWriteInterval;
  return applied.empty() ? MakeEraseCall(now) : MakeWriteCall(changed, applied, now, wall);
}

template <typename Rules>
std::optional<store_call> basic_partition_journal<Rules>::MakeEraseCall(instant /*now*/) {
  const auto [number, revision] = segments_to_erase_.back();
  segments_to_erase_.pop_back();
  call_ = call_state::erase_segment;
  return store_call{.kind = store_call::call_kind::write,
                    .key = SegmentKey(partition_, number),
                    .value = {},
                    .revision = revision};
}

template <typename Rules>
std::optional<store_call> basic_partition_journal<Rules>::MakeWriteCall(
    const record_changes& changed,
    std::vector<journal_operation>& applied,
    instant /*now*/,
    wall_time wall) {
  if (new_segment_ && new_segment_base_revision_ != head_revision_) {
    // The journal has changed since the segment was written. No journal lists the segment, so it is
    // never read.
    new_segment_.reset();
  }
  if (head_bytes_ > kSealThresholdBytes && !new_segment_) {
    const std::int64_t number = std::max(head_.next_segment, min_segment_number_);
    min_segment_number_ = number + 1;
    new_segment_content_ = {.content = {.next_segment = 1, .sealed = {}, .records = head_.records},
                            .revision = 0};
    new_segment_base_revision_ = head_revision_;
    call_segment_number_ = number;
    call_ = call_state::write_segment;
    // A write with revision 0 never overwrites and segment numbers are never reused, so a host with
    // an out-of-date journal cannot overwrite a segment that another host has listed.
    return store_call{.kind = store_call::call_kind::write,
                      .key = SegmentKey(partition_, number),
                      .value = FormatClaimJournal(new_segment_content_.content),
                      .revision = 0};
  }
  next_head_ = head_;
  if (new_segment_) {
    next_head_.records.clear();
    next_head_.sealed.push_back(*new_segment_);
    next_head_.next_segment = new_segment_->number + 1;
  }
  next_dropped_ = DropExpired(next_head_, wall);
  for (const auto& [key, record] : changed) {
    next_head_.records.insert_or_assign(key, record);
  }
  const std::size_t count = applied.size();
  in_flight_ = std::move(applied);
  std::vector<journal_operation> kept;
  std::size_t moved = 0;
  for (journal_operation& operation : pending_) {
    // ResolvePending keeps the order, so the applied operations appear here in the same order.
    if (moved < count && operation == in_flight_[moved]) {
      ++moved;
    } else {
      kept.push_back(std::move(operation));
    }
  }
  pending_ = std::move(kept);
  if constexpr (!Rules::kGrantsOnlyConfirmed) {
    for (const journal_operation& operation : in_flight_) {
      if (operation.kind == journal_operation::operation_kind::claim) {
        AddDecision(operation.ticket, claim_decision::decision_kind::granted, operation.record);
      }
    }
  }
  std::string value = FormatClaimJournal(next_head_);
  next_head_bytes_ = value.size();
  call_ = call_state::write_head;
  return store_call{.kind = store_call::call_kind::write,
                    .key = PartitionKey(partition_),
                    .value = std::move(value),
                    .revision = head_revision_};
}

template <typename Rules>
void basic_partition_journal<Rules>::OnRead(const result<key_value_entry>& entry, instant now) {
  const call_state call = std::exchange(call_, call_state::none);
  const bool is_absent = !entry && entry.error().code == errc::not_found;
  if (!entry && (!is_absent || call == call_state::read_segment)) {
    // The read failed. A listed segment is absent only if it was erased after the journal was read,
    // so the journal is read again in that case too.
    is_loaded_ = false;
    FailPending(now);
    return;
  }
  claim_journal content;
  if (entry) {
    auto parsed = ParseClaimJournal(entry->value, PartitionKey(partition_));
    if (!parsed) {
      is_loaded_ = false;
      FailPending(now);
      return;
    }
    content = std::move(parsed.value());
  }
  backoff_ = {};
  if (call == call_state::read_segment) {
    segments_[call_segment_number_] = {.content = std::move(content), .revision = entry->revision};
    return;
  }
  head_ = std::move(content);
  head_revision_ = entry ? entry->revision : 0;
  head_bytes_ = entry ? entry->value.size() : 0;
  is_loaded_ = true;
  last_read_number_ = reads_started_;
  std::erase_if(segments_, [&](const auto& item) {
    return std::none_of(head_.sealed.begin(), head_.sealed.end(),
                        [&](const auto& segment) { return segment.number == item.first; });
  });
}

template <typename Rules>
void basic_partition_journal<Rules>::OnWrite(const result<std::int64_t>& revision, instant now) {
  const call_state call = std::exchange(call_, call_state::none);
  const bool is_lost = !revision && revision.error().code != errc::store_conflict &&
                       revision.error().code != errc::store_unavailable;
  if (!revision && revision.error().code == errc::store_unavailable) {
    RequeueInFlight();
    FailPending(now);
    return;
  }
  backoff_ = {};
  if (call == call_state::write_segment) {
    OnSegmentWritten(revision);
  } else if (call == call_state::write_head) {
    if (revision) {
      CommitWrite(*revision);
    } else if (is_lost && !Rules::kReadsBackUnknownOutcomes) {
      CommitWrite(head_revision_);
      is_loaded_ = false;
    } else {
      is_loaded_ = false;
      RequeueInFlight();
    }
  }
}

template <typename Rules>
void basic_partition_journal<Rules>::OnSegmentWritten(const result<std::int64_t>& revision) {
  if (!revision) {
    // The number is in use, or may be if the outcome is unknown; the next attempt uses another one.
    return;
  }
  new_segment_content_.revision = *revision;
  sealed_segment segment{.number = call_segment_number_, .expiry = {}};
  for (const auto& [key, record] : new_segment_content_.content.records) {
    segment.expiry = std::max(segment.expiry, record.expiry);
  }
  new_segment_ = segment;
}

template <typename Rules>
void basic_partition_journal<Rules>::CommitWrite(std::int64_t revision) {
  using operation_kind = journal_operation::operation_kind;
  head_ = std::move(next_head_);
  head_bytes_ = next_head_bytes_;
  head_revision_ = revision;
  if (new_segment_) {
    segments_[new_segment_->number] = std::move(new_segment_content_);
    new_segment_.reset();
  }
  for (const sealed_segment& segment : next_dropped_) {
    if (const auto found = segments_.find(segment.number); found != segments_.end()) {
      segments_to_erase_.emplace_back(segment.number, found->second.revision);
      segments_.erase(found);
    }
  }
  next_dropped_.clear();
  for (const journal_operation& operation : std::exchange(in_flight_, {})) {
    if (operation.kind == operation_kind::record) {
      released_claims_.erase(operation.record.claim_id);
    } else if (operation.is_abandoned) {
      ReleaseClaim(operation.record);
    } else if (Rules::kGrantsOnlyConfirmed) {
      AddDecision(operation.ticket, claim_decision::decision_kind::granted, operation.record);
    }
  }
}

template <typename Rules>
void basic_partition_journal<Rules>::RequeueInFlight() {
  for (journal_operation& operation : in_flight_) {
    operation.is_write_attempted = true;
  }
  pending_.insert(pending_.begin(), in_flight_.begin(), in_flight_.end());
  in_flight_.clear();
}

template <typename Rules>
void basic_partition_journal<Rules>::FailPending(instant now) {
  using operation_kind = journal_operation::operation_kind;
  backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
  // Random jitter of up to half the backoff keeps hosts from retrying all at once on recovery.
  retry_at_ = now + backoff_ / 2 +
              duration(random_.Below(static_cast<std::uint64_t>(backoff_.count() / 2) + 1));
  for (journal_operation& operation : std::exchange(pending_, {})) {
    if (operation.kind == operation_kind::record) {
      pending_.push_back(std::move(operation));
      continue;
    }
    if (!operation.is_abandoned) {
      AddDecision(operation.ticket, claim_decision::decision_kind::unavailable, {});
    }
    if (operation.kind == operation_kind::claim && operation.is_write_attempted) {
      ReleaseClaim(operation.record);
    }
  }
}

template <typename Rules>
void basic_partition_journal<Rules>::AddDecision(std::uint64_t ticket,
                                                 claim_decision::decision_kind kind,
                                                 std::optional<claim_record> record) {
  decisions_.push_back({.ticket = ticket, .kind = kind, .record = std::move(record)});
}

template <typename Rules>
std::vector<claim_decision> basic_partition_journal<Rules>::TakeDecisions() {
  return std::exchange(decisions_, {});
}

}  // namespace limpetlever

#endif  // LIMPETLEVER_CLAIMS_PARTITION_JOURNAL_IMPL_H_
