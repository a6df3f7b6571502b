#ifndef LIMPETLEVER_SERVER_COORDINATOR_H_
#define LIMPETLEVER_SERVER_COORDINATOR_H_

#include <atomic>
#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "routing/attempt_result.h"
#include "routing/fan_out_action.h"
#include "routing/query_answer.h"
#include "routing/query_request.h"
#include "routing/replica_selector.h"
#include "routing/service_records.h"

namespace limpetlever {

class cluster_state;
class event_log;
class host_metrics;
class peer_links;
class replica_owner;
struct running_query;

/**
 * Runs callers' queries: sends attempts to the hosts that own the chosen replicas and merges their
 * results into one answer. Safe for use by several threads.
 */
class coordinator {
 public:
  coordinator(cluster_state& state,
              event_log& events,
              host_metrics& metrics,
              peer_links& links,
              std::uint64_t seed);
  ~coordinator();
  coordinator(const coordinator&) = delete;
  coordinator& operator=(const coordinator&) = delete;

  /** Receives the attempts on replicas that this host owns. Must be set before the first query. */
  void SetLocalOwner(replica_owner& owner) { local_owner_ = &owner; }

  /** Runs the query and blocks until its answer, at most for the query's time limit. */
  query_answer Run(query_request request);

  /**
   * Sends one attempt of a submission to the owner of its replica and blocks until its outcome or
   * until shortly after the attempt's time limit. The outcome is not_run only if it is certain that
   * the replica did not run the attempt; without an answer it is may_have_run.
   */
  attempt_result RunAttempt(attempt_request attempt);

  /**
   * Processes results of attempts, in any order. Results that match no open attempt are counted and
   * dropped.
   */
  void OnResults(const std::vector<attempt_result>& results);

  /** Gives each of these attempts, which could not be sent to their owner, the result `outcome`. */
  void OnSendFailure(const std::vector<attempt_request>& attempts, const verdict& outcome);

  /**
   * Applies the current table to the selection of replicas, for example backend servers and data
   * centres that were taken out or in. Called after each adopted table.
   */
  void ApplyCurrentTable();

  std::uint64_t NextQueryId();
  int running() const { return running_count_; }

 private:
  void Execute(const std::vector<fan_out_action>& actions);
  void RecordSent(const fan_out_action& action, const std::string& owner);
  void RecordAnswer(const attempt_result& result);
  void RecordLateAnswer(const attempt_result& result);
  /** Returns whether a thread in RunAttempt was waiting for the result. */
  bool CompleteAwaitedAttempt(const attempt_result& result);
  /** `selector_mutex_` must be held. */
  void ApplyCurrentTableLocked();

  cluster_state& state_;
  event_log& events_;
  host_metrics& metrics_;
  peer_links& links_;
  replica_owner* local_owner_ = nullptr;
  std::mutex mutex_;
  std::mutex selector_mutex_;
  replica_selector selector_;
  service_records service_records_;
  std::int64_t table_version_ = 0;
  std::map<std::uint64_t, std::shared_ptr<running_query>> queries_;
  /** Attempts that a thread in RunAttempt waits for. */
  std::map<attempt_id, std::shared_ptr<std::promise<attempt_result>>> awaited_attempts_;
  std::atomic<std::uint64_t> next_query_id_;
  std::atomic<int> running_count_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_COORDINATOR_H_
