#include "server/claim_partition.h"

#include <algorithm>
#include <utility>

#include "base/errc.h"
#include "events/event_log.h"
#include "transport/key_value_client.h"
#include "transport/monotonic_clock.h"

namespace limpetlever {

namespace {

// Upper limit of a wait for requests and for the journal's timer.
constexpr duration kMaxWait = std::chrono::seconds(1);

}  // namespace

claim_partition::claim_partition(int partition,
                                 std::string process,
                                 std::uint64_t seed,
                                 key_value_client& store,
                                 event_log& events)
    : partition_(partition),
      store_(store),
      events_(events),
      journal_(partition, std::move(process), seed) {
  thread_ = std::thread([this] { Run(); });
}

claim_partition::~claim_partition() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

std::uint64_t claim_partition::RequestClaim(const std::string& journal_key,
                                            std::uint64_t fingerprint,
                                            decision_callback on_decision) {
  const std::lock_guard lock(mutex_);
  const std::uint64_t ticket =
      journal_.RequestClaim(journal_key, fingerprint, MonotonicNow(), WallNow());
  callbacks_.emplace(ticket, std::move(on_decision));
  changed_.notify_all();
  return ticket;
}

void claim_partition::RequestLookup(const std::string& journal_key, decision_callback on_decision) {
  const std::lock_guard lock(mutex_);
  callbacks_.emplace(journal_.RequestLookup(journal_key, MonotonicNow()), std::move(on_decision));
  changed_.notify_all();
}

void claim_partition::Abandon(std::uint64_t ticket) {
  const std::lock_guard lock(mutex_);
  callbacks_.erase(ticket);
  journal_.Abandon(ticket);
  changed_.notify_all();
}

void claim_partition::RecordOutcome(const claim_record& claim,
                                    claim_state state,
                                    const std::string& body) {
  const std::lock_guard lock(mutex_);
  journal_.RecordOutcome(claim, state, body);
  changed_.notify_all();
}

std::size_t claim_partition::pending() const {
  const std::lock_guard lock(mutex_);
  return journal_.pending();
}

void claim_partition::Run() {
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    const std::optional<store_call> call = journal_.NextCall(MonotonicNow(), WallNow());
    DeliverDecisions(lock);
    if (call) {
      MakeCall(lock, *call);
      DeliverDecisions(lock);
      continue;
    }
    const instant latest_wake = MonotonicNow() + kMaxWait;
    changed_.wait_until(lock, std::min(journal_.NextTimer().value_or(latest_wake), latest_wake));
  }
}

void claim_partition::MakeCall(std::unique_lock<std::mutex>& lock, const store_call& call) {
  lock.unlock();
  if (call.kind == store_call::call_kind::read) {
    const auto entry = store_.Get(call.key);
    lock.lock();
    journal_.OnRead(entry, MonotonicNow());
  } else {
    const auto revision = store_.Put(call.key, call.value, call.revision);
    if (!revision && revision.error().code == errc::store_conflict) {
      events_.Record(event_number::claim_conflict, {{"partition", std::to_string(partition_)}});
    }
    lock.lock();
    journal_.OnWrite(revision, MonotonicNow());
  }
}

void claim_partition::DeliverDecisions(std::unique_lock<std::mutex>& lock) {
  for (const claim_decision& decision : journal_.TakeDecisions()) {
    const auto node = callbacks_.extract(decision.ticket);
    if (node.empty()) {
      continue;
    }
    lock.unlock();
    node.mapped()(decision);
    lock.lock();
  }
}

}  // namespace limpetlever
