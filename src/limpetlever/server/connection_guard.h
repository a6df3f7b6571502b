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
 * Knows the open HTTP connections and limits the total time of each read of a request and each
 * write of a response. A socket's own time limit covers a single wait only, so a client that sends
 * one byte at a time could otherwise hold a thread for ever. Safe for use by several threads.
 */
class connection_guard {
 public:
  explicit connection_guard(duration time_limit);
  ~connection_guard();
  connection_guard(const connection_guard&) = delete;
  connection_guard& operator=(const connection_guard&) = delete;

  /** Returns the connection's id; nullopt once stopped. */
  std::optional<std::uint64_t> Add(const Poco::Net::StreamSocket& socket);
  void Remove(std::uint64_t id);

  /** Starts the time limit; when it passes, the socket can no longer be read. */
  void BeginRead(std::uint64_t id);
  /** Ends the read; false if its time limit has passed. */
  bool EndRead(std::uint64_t id);
  /** Starts the time limit; when it passes, the connection is cut. */
  void BeginWrite(std::uint64_t id);
  void EndWrite(std::uint64_t id);

  /** Ends connections that are idle or reading; requests that run are answered first. */
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
