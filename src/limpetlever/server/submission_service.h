#ifndef LIMPETLEVER_SERVER_SUBMISSION_SERVICE_H_
#define LIMPETLEVER_SERVER_SUBMISSION_SERVICE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time_types.h"
#include "claims/claim_record.h"
#include "claims/running_submissions.h"
#include "claims/submission_answer.h"
#include "claims/submission_request.h"
#include "routing/attempt_request.h"
#include "routing/attempt_result.h"

namespace boost::asio {
class thread_pool;
}

namespace limpetlever {

class claim_partition;
class cluster_state;
class event_log;
class key_value_client;
class peer_links;
struct running_submission;
struct submission_action;

/** Runs each submission at most once per workload and key. Thread-safe. */
class submission_service {
 public:
  /** Sends one attempt to the owner of its replica and waits for the outcome. */
  using attempt_sender = std::function<attempt_result(attempt_request)>;

  submission_service(cluster_state& state,
                     key_value_client& store,
                     event_log& events,
                     peer_links& links,
                     attempt_sender send);
  ~submission_service();
  submission_service(const submission_service&) = delete;
  submission_service& operator=(const submission_service&) = delete;

  /**
   * Runs a caller's submission on the host that owns the journal partition of the key, or on this
   * host if that host cannot be reached. If both hosts try to claim the key, the key-value service
   * lets only one succeed.
   */
  submission_answer Submit(const std::string& workload,
                           const std::string& key,
                           const std::string& body,
                           duration time_limit);

  /**
   * Runs a submission on this host, for a caller or for another host. Joins a submission with the
   * same key and body that is already running.
   */
  submission_answer RunLocally(const std::string& workload,
                               const std::string& key,
                               const std::string& body,
                               duration time_limit);

  /**
   * The journal record of a key. Failures: not_found if the key was never claimed or its claim has
   * been released, store_unavailable if the journal cannot be read.
   */
  result<claim_record> Lookup(const std::string& workload, const std::string& key);

  /** Number of unfinished submissions and journal operations. */
  std::size_t pending() const;

 private:
  claim_partition& FindOrCreatePartition(const std::string& journal_key);
  std::vector<std::string> ReplicasFor(const std::string& workload, const std::string& key);
  void Execute(const std::shared_ptr<running_submission>& running,
               const std::vector<submission_action>& actions);
  void Dispatch(const std::shared_ptr<running_submission>& running,
                const submission_action& action);
  submission_answer Await(const std::shared_ptr<running_submission>& running);
  void RemoveIfFinished(const std::shared_ptr<running_submission>& running);

  cluster_state& state_;
  key_value_client& store_;
  event_log& events_;
  peer_links& links_;
  const attempt_sender send_;
  const std::string process_id_;
  mutable std::mutex mutex_;
  running_submissions admissions_;
  std::map<std::string, std::shared_ptr<running_submission>> running_;
  std::map<int, std::unique_ptr<claim_partition>> partitions_;
  std::atomic<std::uint64_t> next_attempt_;
  std::unique_ptr<boost::asio::thread_pool> pool_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_SUBMISSION_SERVICE_H_
