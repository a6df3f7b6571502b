#ifndef LIMPETLEVER_SERVER_CONNECTION_GUARD_H_
#define LIMPETLEVER_SERVER_CONNECTION_GUARD_H_

#include <Poco/Net/StreamSocket.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

#include "base/time_types.h"

namespace limpetlever {

/**
 * Tracks the open HTTP connections and limits the total time in which a request is read and the
 * total time in which a response is written. A socket's own time limit covers only a single wait,
 * so without the guard a client that sends one byte at a time could occupy a thread for ever. Safe
 * for use by several threads.
 */
class connection_guard {
 public:
  explicit connection_guard(duration time_limit);
  ~connection_guard();
  connection_guard(const connection_guard&) = delete;
  connection_guard& operator=(const connection_guard&) = delete;

  /** Returns the connection's id; nullopt after Stop. */
  std::optional<std::uint64_t> Add(const Poco::Net::StreamSocket& socket);
  void Remove(std::uint64_t id);

  /** Starts the time limit of a read; when it expires, the receiving side is shut down. */
  void BeginRead(std::uint64_t id);
  /** Ends the read; returns false if its time limit has expired. */
  bool EndRead(std::uint64_t id);
  /** Starts the time limit of a write; when it expires, the connection is shut down. */
  void BeginWrite(std::uint64_t id);
  void EndWrite(std::uint64_t id);

  /** Shuts down idle and reading connections; running requests are still answered. */
  void Stop();
  bool is_stopping() const;

 private:
  enum class activity { idle, reading, running, writing };
  struct connection {
    Poco::Net::StreamSocket socket;
    activity state = activity::idle;
    std::optional<instant> deadline;
    bool has_expired = false;
  };

  void SetActivity(std::uint64_t id, activity state, std::optional<instant> deadline);
  void EnforceTimeLimits();

  const duration time_limit_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::map<std::uint64_t, connection> connections_;
  std::uint64_t next_id_ = 1;
  bool is_stopping_ = false;
  bool is_destroying_ = false;
  std::thread thread_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_CONNECTION_GUARD_H_
