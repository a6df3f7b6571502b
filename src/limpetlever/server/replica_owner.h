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
 * Runs attempts on the backend servers that this host owns, within their concurrency limits, and
 * reports their status. Thread-safe.
 */
class replica_owner {
 public:
  /** Delivers results to the host at `coordinator`. */
  using result_callback =
      std::function<void(const std::string& coordinator, std::vector<attempt_result>)>;
  /** Whether this host's lease currently permits it to use a replica. */
  using permission_check = std::function<bool(const std::string& replica)>;

  replica_owner(cluster_state& state,
                backend_client& backends,
                event_log& events,
                host_metrics& metrics,
                crash_service& crashes,
                int threads,
                permission_check may_use,
                result_callback on_results);
  ~replica_owner();
  replica_owner(const replica_owner&) = delete;
  replica_owner& operator=(const replica_owner&) = delete;

  /**
   * Accepts attempts from the host at `coordinator`. Each attempt gets exactly one result, unless
   * it is cancelled before it starts.
   */
  void Handle(const std::string& coordinator, std::vector<attempt_request> attempts);
  /** Drops attempts that have not started; asks the backend servers to stop those that run. */
  void Cancel(const std::vector<attempt_id>& ids);

  /**
   * Starts to poll the status of each owned backend server, without waiting for it, and removes the
   * state of servers that this host no longer owns.
   */
  void PollReplicas();
  /** Status of the owned backend servers, for distribution to all hosts. */
  std::vector<replica_status> ReplicaStatuses() const;

  /** Whether attempts are running on a backend server. */
  bool HasInFlight(const std::string& replica) const;
  /** Number of attempts that were started on backend servers and have not finished. */
  int in_flight() const { return in_flight_; }

 private:
  struct replica_entry;
  struct open_attempt {
    std::string coordinator;
    std::shared_ptr<replica_entry> entry;
  };
  /** Null if the table has no backend server with this address. */
  std::shared_ptr<replica_entry> FindOrCreateEntry(const std::string& address);
  /** Refuses an attempt that this host may not run, or admits it to the replica's queue. */
  void Admit(const std::string& coordinator, attempt_request attempt);
  /** Refuses and starts the attempts that a decision names. */
  void Apply(const std::shared_ptr<replica_entry>& entry, replica_decision decision);
  void Run(const std::shared_ptr<replica_entry>& entry, const attempt_request& attempt);
  /**
   * Suggests an expected latency for replicas without one: the latency that a former owner
   * published for the replica, or the lowest of its service.
   */
  void SuggestLatencies();
  void Poll(const std::shared_ptr<replica_entry>& entry);
  /** Polls at short intervals to detect whether a server that closed a connection has crashed. */
  void PollAfterConnectionLoss(const std::shared_ptr<replica_entry>& entry);
  /** Records a change of the replica's state and passes on the requests suspected of a crash. */
  void ReportStateChange(const std::shared_ptr<replica_entry>& entry);
  void Refuse(const std::string& coordinator,
              const attempt_request& attempt,
              const verdict& outcome);
  /** Removes an open attempt; returns its coordinator's address, or "" if it is not open. */
  std::string TakeCoordinator(const attempt_id& id);

  cluster_state& state_;
  backend_client& backends_;
  event_log& events_;
  host_metrics& metrics_;
  crash_service& crashes_;
  const permission_check may_use_;
  const result_callback on_results_;
  mutable std::mutex mutex_;
  std::map<std::string, std::shared_ptr<replica_entry>> entries_;
  std::map<attempt_id, open_attempt> open_attempts_;
  std::atomic<int> in_flight_ = 0;
  std::unique_ptr<boost::asio::thread_pool> pool_;
  /** Runs polls and cancellations, which must not queue behind attempts. */
  std::unique_ptr<boost::asio::thread_pool> control_pool_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_REPLICA_OWNER_H_
