#ifndef LIMPETLEVER_TRANSPORT_BACKEND_CLIENT_H_
#define LIMPETLEVER_TRANSPORT_BACKEND_CLIENT_H_

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/result.h"
#include "base/time_types.h"
#include "routing/attempt_request.h"
#include "transport/backend_reply.h"
#include "transport/backend_report.h"

namespace limpetlever {

class backend_connections;

/** Calls backend servers over HTTP on kept-alive connections. Safe for use by several threads. */
class backend_client {
 public:
  backend_client();
  ~backend_client();

  /** Sets the limits of connections to a backend server, from the table. */
  void SetLimits(const std::string& address, duration connection_cost, std::size_t connections);
  /** Closes the connections to a backend server that this host does not own any more. */
  void Forget(const std::string& address);

  /** Runs one attempt and waits for its outcome, at most the attempt's time limit. */
  backend_reply Call(const attempt_request& attempt);

  /** Asks the backend server to stop an attempt; best effort. */
  void Cancel(const std::string& address, const attempt_id& id);

  /** Reads GET /status. */
  result<backend_report> Status(const std::string& address);

  /** Drops silent and long idle connections; returns how many were silent. */
  int CloseSilentConnections();

 private:
  std::shared_ptr<backend_connections> ConnectionsOf(const std::string& address);

  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<backend_connections>> servers_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_BACKEND_CLIENT_H_
