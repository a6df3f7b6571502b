#include "transport/backend_connections.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <atomic>
#include <utility>

#include "base/errc.h"
#include "transport/monotonic_clock.h"

namespace limpetlever {

namespace {

// Generations are unique across all servers, so that a response is never attributed to an earlier
// connection.
std::atomic<std::uint64_t> next_generation = 1;

}  // namespace

backend_connections::backend_connections(std::string address,
                                         duration connection_cost,
                                         std::size_t max_connections)
    : address_(std::move(address)), health_(connection_cost, max_connections) {}

void backend_connections::SetLimits(duration connection_cost, std::size_t max_connections) {
  const std::lock_guard lock(mutex_);
  health_.SetLimits(connection_cost, max_connections);
}

result<std::unique_ptr<backend_connection>> backend_connections::Acquire(instant deadline) {
  std::unique_lock lock(mutex_);
  while (true) {
    const instant now = MonotonicNow();
    while (!idle_.empty()) {
      std::unique_ptr<backend_connection> connection = std::move(idle_.back());
      idle_.pop_back();
      // An idle connection is readable if the server has closed it or sent unexpected bytes.
      if (connection->session.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
        health_.OnFailed(connection->generation);
        continue;
      }
      health_.OnUsed(connection->generation, now);
      in_use_.emplace(connection->generation, connection->session.socket());
      return connection;
    }
    if (now >= deadline) {
      return failure{errc::connection_failed,
                     address_ + ": no connection available before the deadline"};
    }
    if (health_.MayOpen(now)) {
      return Open(lock, deadline);
    }
    changed_.wait_until(lock, std::min(health_.NextOpening(now).value_or(deadline), deadline));
  }
}

result<std::unique_ptr<backend_connection>> backend_connections::Open(
    std::unique_lock<std::mutex>& lock,
    instant deadline) {
  const std::uint64_t generation = next_generation++;
  const instant now = MonotonicNow();
  health_.OnOpening(generation, now);
  lock.unlock();
  std::unique_ptr<backend_connection> connection;
  std::string cause;
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address_), Poco::Timespan((deadline - now).count()));
    socket.setNoDelay(true);
    connection = std::make_unique<backend_connection>(socket, generation);
    connection->session.setKeepAlive(true);
    // A keep-alive timeout of one day keeps the session from reconnecting by itself; this class
    // decides when a connection is opened.
    connection->session.setKeepAliveTimeout(Poco::Timespan(1, 0, 0, 0, 0));
  } catch (const Poco::Exception& error) {
    cause = error.displayText();
  }
  lock.lock();
  if (!connection) {
    health_.OnFailed(generation);
    changed_.notify_all();
    return failure{errc::connection_failed, address_ + ": " + cause};
  }
  health_.OnUsed(generation, MonotonicNow());
  in_use_.emplace(generation, connection->session.socket());
  return connection;
}

void backend_connections::OnBytes(std::uint64_t generation) {
  const std::lock_guard lock(mutex_);
  health_.OnBytes(generation, MonotonicNow());
}

void backend_connections::Release(std::unique_ptr<backend_connection> connection) {
  const std::lock_guard lock(mutex_);
  const std::uint64_t generation = connection->generation;
  in_use_.erase(generation);
  if (dropped_.erase(generation) == 0) {
    health_.OnFinished(generation, MonotonicNow());
    idle_.push_back(std::move(connection));
  }
  changed_.notify_one();
}

bool backend_connections::OnFailed(std::uint64_t generation) {
  const std::lock_guard lock(mutex_);
  in_use_.erase(generation);
  health_.OnFailed(generation);
  changed_.notify_one();
  return dropped_.erase(generation) > 0;
}

int backend_connections::Check(instant now) {
  const std::lock_guard lock(mutex_);
  int silent = 0;
  for (const connection_drop& drop : health_.TakeDrops(now)) {
    const auto in_use = in_use_.find(drop.generation);
    if (in_use != in_use_.end()) {
      ++silent;
      dropped_.insert(drop.generation);
      try {
        in_use->second.shutdown();
      } catch (const Poco::Exception&) {
        // The server has already closed the connection.
      }
    }
    std::erase_if(idle_, [&drop](const auto& item) { return item->generation == drop.generation; });
    changed_.notify_one();
  }
  return silent;
}

std::size_t backend_connections::size() const {
  const std::lock_guard lock(mutex_);
  return health_.size();
}

}  // namespace limpetlever
