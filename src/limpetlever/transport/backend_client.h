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

/** Calls backend servers over persistent HTTP connections. Thread-safe. */
class backend_client {
 public:
  backend_client();
  ~backend_client();

  /**
   * Sets the cost of opening a connection to a backend server and the maximum number of
   * connections, both from the operator table.
   */
  void SetLimits(const std::string& address, duration connection_cost, std::size_t connections);
  /** Closes the connections to a backend server, for example when this host no longer owns it. */
  void RemoveServer(const std::string& address);

  /** Runs one attempt and waits for its outcome, at most for the attempt's time limit. */
  backend_reply Call(const attempt_request& attempt);

  /** Asks the backend server to stop an attempt; a failure is ignored. */
  void Cancel(const std::string& address, const attempt_id& id);

  /** Reads the backend server's GET /status; waits up to 500 ms. */
  result<backend_report> Status(const std::string& address);

  /**
   * Closes silent connections (a response makes no progress) and those idle for too long; returns
   * the number of silent ones.
   */
  int CloseSilentConnections();

 private:
  std::shared_ptr<backend_connections> FindOrCreateConnections(const std::string& address);

  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<backend_connections>> servers_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_BACKEND_CLIENT_H_
