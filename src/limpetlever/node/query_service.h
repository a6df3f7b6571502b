#ifndef LIMPETLEVER_NODE_QUERY_SERVICE_H_
#define LIMPETLEVER_NODE_QUERY_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "limits/crash_guard.h"
#include "limits/lost_requests.h"
#include "node/running_query.h"
#include "query/query_state.h"

namespace limpetlever {

class event_loop;
class log_writer;
class node_metrics;
class replica_pools;
class route_table;
class server_connection;

/** Carries out the plans of callers' requests: sends attempts, feeds results back, answers. */
class query_service {
 public:
  query_service(event_loop& loop,
                replica_registry& replicas,
                replica_pools& pools,
                log_writer& log,
                node_metrics& metrics,
                std::uint64_t seed);

  void UseRouteTable(std::shared_ptr<const route_table> table) { table_ = std::move(table); }
  const std::shared_ptr<const route_table>& table() const { return table_; }
  void UseRetryTerms(const retry_terms& terms) { state_.terms = terms; }

  /** Called with what other hosts should know of requests that crash servers. */
  void OnCrashNote(std::function<void(const crash_note&)> call) {
    on_crash_note_ = std::move(call);
  }
  /** Takes over what another host knows. */
  void TakeCrashNote(const crash_note& note);
  /** The backend server refuses connections, has left or runs anew. */
  void OnReplicaDead(const std::string& id);

  /** Takes one request of a caller. */
  void Handle(const std::shared_ptr<server_connection>& caller);
  std::size_t running_count() const { return running_; }

 private:
  using query_ptr = std::shared_ptr<running_query>;

  void Refuse(const std::shared_ptr<server_connection>& caller,
              int status,
              const char* reason,
              const std::string& request_id);
  void Execute(const query_ptr& query, query_plan::action_list& actions);
  void SendAttempt(const query_ptr& query, const query_action& action);
  bool OnResponse(const query_ptr& query, std::uint32_t attempt, http_message& response);
  void OnFailure(const query_ptr& query, std::uint32_t attempt, attempt_failure failure);
  void Answer(const query_ptr& query);
  void TellCrashNote(const crash_note& note);
  void OnCallerLeft(const query_ptr& query);
  /** Ends all attempts under way, with their connections. */
  void CancelAttempts(const query_ptr& query);
  void SetTimer(const query_ptr& query);
  duration RetryAfter();

  event_loop& loop_;
  replica_pools& pools_;
  log_writer& log_;
  node_metrics& metrics_;
  query_state state_;
  std::shared_ptr<const route_table> table_;
  std::size_t running_ = 0;
  crash_guard crash_guard_;
  lost_requests lost_;
  std::function<void(const crash_note&)> on_crash_note_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_QUERY_SERVICE_H_
