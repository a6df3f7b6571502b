#ifndef LIMPETLEVER_LIMITS_OWNED_REPLICA_H_
#define LIMPETLEVER_LIMITS_OWNED_REPLICA_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "base/verdict.h"
#include "limits/admission_queue.h"
#include "limits/refused_attempt.h"
#include "limits/replica_limiter.h"
#include "routing/attempt_request.h"

namespace limpetlever {

/** Attempts that the owner has to start or refuse after an event on a replica. */
struct replica_decision {
  std::vector<attempt_request> start;
  std::vector<refused_attempt> refuse;
};

/**
 * Admission control of one backend server on the host that owns it: limits how many attempts run on
 * the server and queues the others. It reads no clock. Not thread-safe.
 */
class owned_replica {
 public:
  /** `slots` is the limit in the table. Attempts that wait or run must have different ids. */
  owned_replica(std::string address, int slots);

  /** A new attempt: it is started, queued or refused, and may displace a waiting one. */
  replica_decision Offer(attempt_request attempt, instant now);
  /**
   * A started attempt ended with `outcome` after `elapsed`. Ids that are not running are ignored. A
   * lost or refused connection counts as a connection reset.
   */
  replica_decision OnFinished(const attempt_id& id,
                              const verdict& outcome,
                              duration elapsed,
                              instant now);
  /** An answer or status named this instance of the server; an empty id is ignored. */
  void OnInstanceId(const std::string& instance_id, instant now);
  /** A connection was reset or refused outside of an attempt, for example while idle. */
  void OnConnectionReset(instant now) { limiter_.OnConnectionReset(now); }
  /**
   * The server refused a connection, for example that of a status poll. If connections were lost
   * shortly before, the server is considered crashed.
   */
  void OnConnectionRefused(instant now);
  /**
   * Starts waiting attempts if possible and refuses those that cannot finish in time. To be called
   * periodically, since a replica without answers has no other events.
   */
  replica_decision RefuseLate(instant now);
  /** Refuses all waiting attempts as not run, and all new ones until Resume(). */
  replica_decision Drain();
  /** Accepts attempts again, starting with a limit of 1. No effect unless draining. */
  void Resume(instant now);
  /** Removes a waiting attempt; returns false if `id` is not waiting. */
  bool Cancel(const attempt_id& id);
  /** Sets the limit of the table. */
  void SetSlots(int slots) { limiter_.SetMaxLimit(slots); }
  /** Suggests the latency of the warm server, as known from elsewhere; see replica_limiter. */
  void SuggestReferenceLatency(duration latency) { limiter_.SuggestReferenceLatency(latency); }
  duration warm_latency() const { return limiter_.warm_latency(); }
  bool has_reference_latency() const { return limiter_.has_reference_latency(); }

  /**
   * Returns, and forgets, the distinct fingerprints of the attempts that were in flight when the
   * server crashed. To be passed to crash_guard::OnServerCrash.
   */
  std::vector<std::uint64_t> TakeCrashSuspects();

  const std::string& address() const { return address_; }
  int limit() const { return limiter_.limit(); }
  int in_flight() const { return static_cast<int>(running_.size()); }
  std::size_t waiting() const { return queue_.size(); }
  bool cold() const { return limiter_.cold(); }
  bool draining() const { return limiter_.draining(); }
  /** State of the server in the backend_server chart. */
  const std::string& state() const { return limiter_.state(); }

 private:
  struct lost_attempt {
    std::uint64_t fingerprint = 0;
    instant at;
  };
  void StartWaiting(instant now, replica_decision& decision);
  void ExpireLost(instant now);
  void RecordCrash(instant now);

  const std::string address_;
  replica_limiter limiter_;
  admission_queue queue_;
  /** Fingerprints of the running attempts. */
  std::map<attempt_id, std::uint64_t> running_;
  std::deque<lost_attempt> lost_attempts_;
  std::vector<std::uint64_t> suspects_;
  std::optional<instant> crashed_at_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_OWNED_REPLICA_H_
