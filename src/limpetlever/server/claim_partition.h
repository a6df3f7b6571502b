#ifndef LIMPETLEVER_SERVER_CLAIM_PARTITION_H_
#define LIMPETLEVER_SERVER_CLAIM_PARTITION_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "claims/partition_journal.h"

namespace limpetlever {

class event_log;
class key_value_client;

/**
 * Runs one partition of the claim journal on its own thread, which makes the calls to the key-value
 * service one after the other. Safe for use by several threads.
 */
class claim_partition {
 public:
  /** Receives a decision, on the partition's thread and without its lock held. */
  using decision_callback = std::function<void(const claim_decision&)>;

  claim_partition(int partition,
                  std::string process,
                  std::uint64_t seed,
                  key_value_client& store,
                  event_log& events);
  ~claim_partition();
  claim_partition(const claim_partition&) = delete;
  claim_partition& operator=(const claim_partition&) = delete;

  /**
   * Asks for the claim on the key `journal_key`; the decision goes to `on_decision`. Returns the
   * ticket to pass to Abandon.
   */
  std::uint64_t RequestClaim(const std::string& journal_key,
                             std::uint64_t fingerprint,
                             decision_callback on_decision);
  /** Reads the state of the key; the decision goes to `on_decision`. */
  void RequestLookup(const std::string& journal_key, decision_callback on_decision);
  /** Drops the callback of the claim with this ticket and releases the claim. */
  void Abandon(std::uint64_t ticket);
  /** Writes the outcome of a granted claim to the journal, asynchronously. */
  void RecordOutcome(const claim_record& claim, claim_state state, const std::string& body);
  /** Number of claims, lookups and outcomes that wait for the key-value service. */
  std::size_t pending() const;

 private:
  void Run();
  /** Releases `lock` during the call. */
  void MakeCall(std::unique_lock<std::mutex>& lock, const store_call& call);
  /** Releases `lock` during each callback. */
  void DeliverDecisions(std::unique_lock<std::mutex>& lock);

  const int partition_;
  key_value_client& store_;
  event_log& events_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  partition_journal journal_;
  std::map<std::uint64_t, decision_callback> callbacks_;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_CLAIM_PARTITION_H_
