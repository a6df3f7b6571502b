#ifndef LIMPETLEVER_NODE_QUERY_SERVICE_H_
#define LIMPETLEVER_NODE_QUERY_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <memory>

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
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_QUERY_SERVICE_H_
