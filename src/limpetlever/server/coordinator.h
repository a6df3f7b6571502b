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

/** Runs callers' queries from this host. Safe for use by several threads. */
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

  /** Where attempts on replicas that this host owns go. To be set before the first query. */
  void SetLocalOwner(replica_owner& owner) { local_owner_ = &owner; }

  /** Runs the query and waits for its answer, at most its time limit. */
  query_answer Run(query_request request);

  /**
   * Sends one attempt of a submission to the owner of its replica and waits for the outcome, a
   * little longer than the attempt's time limit. "Not run" only if that is certain.
   */
  attempt_result RunAttempt(attempt_request attempt);

  /** Takes results, which may be late or crossed. */
  void OnResults(const std::vector<attempt_result>& results);

  /** Takes the attempts that could not be sent to their owner. */
  void OnSendFailure(const std::vector<attempt_request>& attempts, const verdict& outcome);

  /** A table came into force: the choice of replicas learns of what was taken out or in. */
  void ApplyCurrentTable();

  std::uint64_t NextQueryId();
  int running() const { return running_count_; }

 private:
  void Execute(const std::vector<fan_out_action>& actions);
  void RecordSent(const fan_out_action& action, const std::string& owner);
  void RecordAnswered(const attempt_result& result);
  void RecordLate(const attempt_result& result);
  bool DeliverToSingle(const attempt_result& result);
  /** The selector's mutex must be held. */
  void ApplyCurrentTableLocked();

  cluster_state& state_;
  event_log& events_;
  host_metrics& metrics_;
  peer_links& links_;
  replica_owner* local_owner_ = nullptr;
  std::mutex mutex_;
  std::mutex selector_mutex_;
  replica_selector selector_;
  service_records services_;
  std::int64_t table_version_ = 0;
  std::map<std::uint64_t, std::shared_ptr<running_query>> queries_;
  /** Single attempts that a thread waits for. */
  std::map<attempt_id, std::shared_ptr<std::promise<attempt_result>>> singles_;
  std::atomic<std::uint64_t> next_query_;
  std::atomic<int> running_count_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_COORDINATOR_H_
