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
 * A pool of persistent connections to one backend server. It bounds the number of connections and
 * the rate at which new ones are opened, and closes silent ones. Thread-safe.
 */
class backend_connections {
 public:
  /** `connection_cost` is the time that opening a connection takes; it bounds their rate. */
  backend_connections(std::string address, duration connection_cost, std::size_t max_connections);

  void SetLimits(duration connection_cost, std::size_t max_connections);

  /**
   * Returns an idle connection or opens one, and waits until `deadline` at most. Failure:
   * connection_failed, if none becomes available in time or the server refuses the connection.
   */
  result<std::unique_ptr<backend_connection>> Acquire(instant deadline);
  /** Records that bytes of a response arrived on a connection. */
  void OnBytes(std::uint64_t generation);
  /** Returns a connection to the pool after a complete response. */
  void Release(std::unique_ptr<backend_connection> connection);
  /** Removes a failed connection; returns whether Check had closed it as silent. */
  bool OnFailed(std::uint64_t generation);

  /** Closes silent and long idle connections; returns the number of silent ones. */
  int Check(instant now);

  /** Number of open connections, including those being opened. */
  std::size_t size() const;

 private:
  result<std::unique_ptr<backend_connection>> Open(std::unique_lock<std::mutex>& lock,
                                                   instant deadline);

  const std::string address_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  connection_health health_;
  std::vector<std::unique_ptr<backend_connection>> idle_;
  /** Sockets of the connections in use, so that Check can end another thread's wait for bytes. */
  std::map<std::uint64_t, Poco::Net::StreamSocket> in_use_;
  /** Connections in use that Check has closed and their users have not returned yet. */
  std::set<std::uint64_t> dropped_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_BACKEND_CONNECTIONS_H_
