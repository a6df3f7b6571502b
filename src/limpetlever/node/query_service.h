#ifndef LIMPETLEVER_NODE_QUERY_SERVICE_H_
#define LIMPETLEVER_NODE_QUERY_SERVICE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "node/crash_reporter.h"
#include "node/running_query.h"
#include "query/query_state.h"
#include "replicas/exclusion.h"

namespace limpetlever {

class event_loop;
class log_writer;
class node_metrics;
class replica_pools;
class route_table;
class server_connection;

/**
 * Runs the queries of callers: creates a query_plan for each request, sends the attempts that the
 * plan decides on, passes their results back to the plan, and answers the caller.
 */
class query_service {
 public:
  query_service(event_loop& loop,
                replica_registry& replicas,
                replica_pools& pools,
                log_writer& log,
                node_metrics& metrics,
                std::uint64_t seed);

  void SetRouteTable(std::shared_ptr<const route_table> table) { table_ = std::move(table); }
  const std::shared_ptr<const route_table>& table() const { return table_; }
  /** This host's share of the fleet's retry budget. */
  void SetRetryLimits(const retry_limits& limits) { state_.budget_limits = limits; }

  /** The requests that are suspected of crashing servers. */
  crash_reporter& crashes() { return crashes_; }

  /** Sets the function that tells other hosts that a server no longer names a limit. */
  void OnLimitEnded(std::function<void(const std::string&)> call) {
    on_limit_ended_ = std::move(call);
  }
  /** Another host has found that the server `id` no longer names a limit. */
  void OnLimitEndedElsewhere(const std::string& id);

  /** Starts the query for the request that waits on this connection, or refuses it. */
  void Handle(const std::shared_ptr<server_connection>& caller);
  /** Requests that are not answered yet. */
  std::size_t running_count() const { return running_.size(); }

  /**
   * This host stops answering at `stop_at`. Requests that could not be answered before are refused
   * from now on, so that their callers turn to another host.
   */
  void BeginStop(instant stop_at) { stop_at_ = stop_at; }
  /**
   * Refuses requests until Resume() or `until`: this host was paused, and what it knows of routes,
   * servers and data centres may be out of date.
   */
  void Suspend(instant until) { suspended_until_ = until; }
  void Resume() { suspended_until_ = instant(); }
  bool IsSuspended() const;
  /** Answers all running requests with what has arrived. */
  void FinishAll();

 private:
  using query_ptr = std::shared_ptr<running_query>;

  void Refuse(const std::shared_ptr<server_connection>& caller,
              int status,
              const char* reason,
              const std::string& request_id);
  /** Carries out the actions that the query's plan decided on. */
  void Execute(const query_ptr& query, query_plan::action_list& actions);
  void SendAttempt(const query_ptr& query, const query_action& action);
  /**
   * Ends an attempt of a query that is over if it still waits for a connection. To be called before
   * the answer is written: an answer may promise that the request never runs.
   */
  void WithdrawUnsent(const query_ptr& query, std::uint32_t attempt);
  bool OnResponse(const query_ptr& query, std::uint32_t attempt, http_message& response);
  /** Sends a waiting attempt to another server than the one it was chosen for. */
  bool Move(const query_ptr& query, std::uint32_t attempt);
  /** Logs that a server is no longer asked, or is asked again, because of what it has answered. */
  void ReportNotice(const replica_record& record, exclusion before);
  /** Logs a changed limit of a server, and reports its end if this host is the one to do so. */
  void ReportLimit(const replica_record& record, double before);
  void OnFailure(const query_ptr& query, std::uint32_t attempt, attempt_failure failure);
  void Answer(const query_ptr& query);
  /** Stops further attempts if the request is known to crash servers. */
  void CheckBlocked(const query_ptr& query);
  void OnCallerDisconnected(const query_ptr& query);
  /** Cancels all attempts in flight and closes their connections. */
  void CancelAttempts(const query_ptr& query);
  /** Sets the timer for the plan's next step, or for the end of abandoned attempts. */
  void SetTimer(const query_ptr& query);
  /** How long the request that was just read may have waited for this process while it was paused.
   */
  duration TimeSpentPaused() const;
  /** Whether a query can be answered before this host stops; always if it does not stop. */
  bool FitsBeforeStop(const route& query_route, duration wait, instant now) const;
  /** A randomised time after which a refused caller should retry. */
  duration RandomRetryAfter();

  event_loop& loop_;
  replica_pools& pools_;
  log_writer& log_;
  node_metrics& metrics_;
  query_state state_;
  std::shared_ptr<const route_table> table_;
  /** Queries that are not answered yet. */
  std::unordered_map<const running_query*, std::weak_ptr<running_query>> running_;
  std::optional<instant> stop_at_;
  instant suspended_until_;
  crash_reporter crashes_;
  std::function<void(const std::string&)> on_limit_ended_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_QUERY_SERVICE_H_
