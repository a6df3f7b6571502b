#ifndef LIMPETLEVER_NODE_REPLICA_POOL_H_
#define LIMPETLEVER_NODE_REPLICA_POOL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/time_types.h"
#include "net/http_client.h"
#include "node/replica_attempt.h"
#include "replicas/waiting_decision.h"
#include "timer/timer_service.h"

namespace limpetlever {

class event_loop;
class node_metrics;
struct pool_listener;

/** The connections of this host to one backend server, and the attempts waiting for one. */
class replica_pool : public http_client::handler {
 public:
  /**
   * `listener` is held by reference and must outlive the pool. `memory` limits what the incomplete
   * answers of all pools take.
   */
  replica_pool(event_loop& loop,
               node_metrics& metrics,
               std::shared_ptr<replica_record> target,
               const pool_listener& listener,
               std::shared_ptr<receive_memory> memory);
  ~replica_pool() override;

  /**
   * Limits the connections to the server. A lower limit closes none; it takes effect as they end.
   */
  void SetMaxConnections(std::size_t max) { max_connections_ = max; }
  /** Whether idle connections are kept for later requests. */
  void SetKeepsConnections(bool keeps) { keeps_connections_ = keeps; }
  /** Sets the path of the server's health check; empty: it has none. */
  void SetHealthPath(std::string path) { health_path_ = std::move(path); }
  /** Sends the attempt on a free connection, or queues it by priority until there is one. */
  void Send(std::shared_ptr<replica_attempt> attempt);
  /**
   * Ends the attempt without calling its functions. If it was sent, its connection is closed, so
   * that the server stops working on it.
   */
  void Cancel(const std::shared_ptr<replica_attempt>& attempt);
  /**
   * Closes connections that were not established in time, whose waiting attempts fail, and idle
   * ones before the server closes them. To be called periodically.
   */
  void Sweep();
  /** Whether it holds no connection and no attempt, and the server needs no reachability probe. */
  bool IsEmpty() const;
  const replica_record& target() const { return *target_; }

 private:
  struct pooled_connection {
    std::unique_ptr<http_client> client;
    std::shared_ptr<replica_attempt> attempt;
    instant opened;
    std::uint64_t number = 0;
  };
  using connection_list = std::vector<pooled_connection>;

  /** Sends waiting attempts on free connections and opens more up to the limit. */
  void AssignAttempts();
  /**
   * Whether the attempt's caller has stopped waiting. Such an attempt is not sent; its query ends
   * it when its timer runs, which may be after the events of sockets.
   */
  bool IsExpired(const replica_attempt& attempt) const;
  bool IsFree(const pooled_connection& item) const;
  /** The free connection that suits the attempt best; end() if there is none. */
  connection_list::iterator FindFree(const replica_attempt& attempt);
  /** Closes a free connection that no waiting attempt may use, if there is no room for another. */
  void MakeRoomForAvoiding();
  /**
   * Moves waiting attempts to other servers if this one is no longer in use or may not get them
   * while it is cold. Those that cannot be moved keep waiting while the server still serves them
   * (DecideWaiting), and fail after that.
   */
  void MoveWaiting();
  void SendOn(pooled_connection& item, std::shared_ptr<replica_attempt> attempt);
  void OpenConnection();
  bool IsIdleTooLong(const http_client& client) const;
  connection_list::iterator Find(const http_client& client);
  void CloseConnection(connection_list::iterator item);
  waiting_decision DecideWaiting(const replica_attempt& attempt) const;
  /** No connection to the server can be opened. */
  void OnUnreachable();
  /**
   * Asks a server that may be cold, without having said so, how long it is; and from time to time a
   * server whose service has a limit for cold servers, if this host is the one to do so.
   */
  void CheckHealthIfDue();
  void SendHealthCheck();
  bool OnHealth(const http_message& response);
  /** Opens a connection to an unreachable server when its next try is due. */
  void ProbeIfUnreachable();
  /**
   * Finds out whether the server has crashed after a connection was lost: the other connections
   * then end as well, and a new one is refused.
   */
  void CheckForCrash();
  /** Reports the lost attempts, once it is known whether the server has crashed. */
  void FailLost();
  /** Fails waiting attempts, the last in line first, until `keep` are left. */
  void FailWaiting(std::size_t keep);
  void OnConnected(http_client& client) override;
  bool OnResponse(http_client& client, http_message& response) override;
  void OnEnded(http_client& client, http_client::end_reason reason) override;

  event_loop& loop_;
  node_metrics& metrics_;
  const std::shared_ptr<replica_record> target_;
  const pool_listener& listener_;
  const std::shared_ptr<receive_memory> memory_;
  std::size_t max_connections_ = 1;
  bool keeps_connections_ = true;
  connection_list connections_;
  std::uint64_t next_connection_number_ = 1;
  /** Attempts whose connection was lost and that were not reported as failed yet. */
  std::vector<std::shared_ptr<replica_attempt>> lost_;
  timer_service::timer_id crash_check_ = 0;
  std::string health_path_;
  /** The health check that is not answered yet. */
  std::shared_ptr<replica_attempt> health_check_;
  /** When the next health check may be sent. */
  instant next_health_check_;
  /** When waiting attempts look for another server again. */
  instant next_move_;
  /** Sorted by priority, the most urgent first, and within a priority by arrival. */
  std::deque<std::shared_ptr<replica_attempt>> waiting_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_REPLICA_POOL_H_
