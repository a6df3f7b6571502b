#ifndef LIMPETLEVER_SERVER_REPLICA_OWNER_H_
#define LIMPETLEVER_SERVER_REPLICA_OWNER_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "limits/owned_replica.h"
#include "routing/attempt_request.h"
#include "routing/attempt_result.h"
#include "routing/replica_status.h"

namespace boost::asio {
class thread_pool;
}

namespace limpetlever {

class backend_client;
class cluster_state;
class crash_service;
class event_log;
class host_metrics;

/**
 * Runs attempts on the backend servers that this host owns, within their limits, and reports on
 * them. Safe for use by several threads.
 */
class replica_owner {
 public:
  /** Delivers results to the host at `coordinator`. */
  using deliver = std::function<void(const std::string& coordinator, std::vector<attempt_result>)>;
  /** Whether this host's lease lets it use a replica now. */
  using permission = std::function<bool(const std::string& replica)>;

  replica_owner(cluster_state& state,
                backend_client& backends,
                event_log& events,
                host_metrics& metrics,
                crash_service& crashes,
                int threads,
                permission may_use,
                deliver on_results);
  ~replica_owner();
  replica_owner(const replica_owner&) = delete;
  replica_owner& operator=(const replica_owner&) = delete;

  /** Takes attempts of the host at `coordinator`; each gets exactly one result. */
  void Handle(const std::string& coordinator, std::vector<attempt_request> attempts);
  /** The results of these attempts are not needed any more. */
  void Cancel(const std::vector<attempt_id>& ids);

  /** Starts to poll the status of each owned backend server and forgets those it lost. */
  void PollReplicas();
  /** What to tell all hosts about the owned backend servers. */
  std::vector<replica_status> ReplicaStatuses() const;

  bool HasInFlight(const std::string& replica) const;
  int in_flight() const { return in_flight_; }

 private:
  struct replica_entry;
  struct open_attempt {
    std::string coordinator;
    std::shared_ptr<replica_entry> entry;
  };
  std::shared_ptr<replica_entry> EntryOf(const std::string& address);
  void Offer(const std::string& coordinator, attempt_request attempt);
  void Apply(const std::shared_ptr<replica_entry>& entry, replica_decision decision);
  void Run(const std::shared_ptr<replica_entry>& entry, const attempt_request& attempt);
  /** Gives replicas of unknown latency what this host knows from a former owner or others. */
  void SuggestLatencies();
  void Poll(const std::shared_ptr<replica_entry>& entry);
  /** Finds out soon whether a server that closed a connection has died. */
  void PollAfterLoss(const std::shared_ptr<replica_entry>& entry);
  void ReportServerCrash(const std::shared_ptr<replica_entry>& entry);
  void Refuse(const std::string& coordinator,
              const attempt_request& attempt,
              const verdict& outcome);
  std::string TakeCoordinator(const attempt_id& id);

  cluster_state& state_;
  backend_client& backends_;
  event_log& events_;
  host_metrics& metrics_;
  crash_service& crashes_;
  const permission may_use_;
  const deliver on_results_;
  mutable std::mutex mutex_;
  std::map<std::string, std::shared_ptr<replica_entry>> entries_;
  std::map<attempt_id, open_attempt> open_;
  std::atomic<int> in_flight_ = 0;
  std::unique_ptr<boost::asio::thread_pool> pool_;
  /** Polls and cancellations, which must not wait behind attempts. */
  std::unique_ptr<boost::asio::thread_pool> side_pool_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_REPLICA_OWNER_H_
