#ifndef LIMPETLEVER_NODE_REPLICA_POOL_H_
#define LIMPETLEVER_NODE_REPLICA_POOL_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "net/http_client.h"
#include "node/replica_attempt.h"

namespace limpetlever {

class event_loop;
class node_metrics;

/** The connections of this host to one backend server, and the attempts that wait for one. */
class replica_pool : public http_client::handler {
 public:
  /** `on_refused` is called with the server's id when it refuses a connection. */
  replica_pool(event_loop& loop,
               node_metrics& metrics,
               std::shared_ptr<replica_record> target,
               const std::function<void(const std::string&)>& on_refused);
  ~replica_pool() override;

  /** The most connections; fewer take effect as connections end. */
  void SetMostConnections(std::size_t most) { most_connections_ = most; }
  void Send(std::shared_ptr<replica_attempt> attempt);
  /** Ends the attempt and its connection, so that the server stops its work. */
  void Cancel(const std::shared_ptr<replica_attempt>& attempt);
  /** Gives up what is overdue and closes connections that the server is about to close. */
  void Sweep();
  /** Whether there is nothing to do for the server any more. */
  bool IsEmpty() const;
  const replica_record& target() const { return *target_; }

 private:
  struct pooled_connection {
    std::unique_ptr<http_client> client;
    std::shared_ptr<replica_attempt> attempt;
    instant opened;
  };
  using connection_list = std::vector<pooled_connection>;

  void Assign();
  void StartOn(pooled_connection& item, std::shared_ptr<replica_attempt> attempt);
  void Open();
  bool IsIdleTooLong(const http_client& client) const;
  connection_list::iterator Find(const http_client& client);
  void Drop(connection_list::iterator item);
  void ProbeIfUnreachable();
  void FailWaiting(std::size_t keep);
  void OnConnected(http_client& client) override;
  bool OnResponse(http_client& client, http_message& response) override;
  void OnEnded(http_client& client, http_client::end_reason reason) override;

  event_loop& loop_;
  node_metrics& metrics_;
  const std::shared_ptr<replica_record> target_;
  const std::function<void(const std::string&)>& on_refused_;
  std::size_t most_connections_ = 1;
  connection_list connections_;
  /** The most urgent first, in the order of arrival. */
  std::deque<std::shared_ptr<replica_attempt>> waiting_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_REPLICA_POOL_H_
