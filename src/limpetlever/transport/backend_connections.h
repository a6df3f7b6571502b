#ifndef LIMPETLEVER_TRANSPORT_BACKEND_CONNECTIONS_H_
#define LIMPETLEVER_TRANSPORT_BACKEND_CONNECTIONS_H_

#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time_types.h"
#include "limits/connection_health.h"
#include "transport/backend_connection.h"

namespace limpetlever {

/**
 * The connections to one backend server: kept alive, bounded in number and in the rate of new ones,
 * and dropped when silent. Safe for use by several threads.
 */
class backend_connections {
 public:
  backend_connections(std::string address, duration cost, std::size_t max_connections);

  void SetLimits(duration cost, std::size_t max_connections);

  /**
   * An idle connection or a new one; waits for one at most until `deadline`. Failure:
   * connection_failed, when none can be had in time or the server refuses it.
   */
  result<std::unique_ptr<backend_connection>> Acquire(instant deadline);
  /** Bytes of an answer arrived. */
  void OnBytes(std::uint64_t generation);
  /** The answer is complete; the connection may be used again. */
  void GiveBack(std::unique_ptr<backend_connection> connection);
  /** The connection failed; returns whether it had been dropped as silent. */
  bool OnFailed(std::uint64_t generation);

  /** Drops silent and long idle connections; returns how many were silent. */
  int Check(instant now);

  std::size_t size() const;

 private:
  result<std::unique_ptr<backend_connection>> Open(std::unique_lock<std::mutex>& lock,
                                                   instant deadline);

  const std::string address_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  connection_health health_;
  std::vector<std::unique_ptr<backend_connection>> idle_;
  /** Sockets of the connections in use, to end a wait for bytes from another thread. */
  std::map<std::uint64_t, Poco::Net::StreamSocket> in_use_;
  std::set<std::uint64_t> dropped_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_BACKEND_CONNECTIONS_H_
