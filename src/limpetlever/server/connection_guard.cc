#include "server/connection_guard.h"

#include <Poco/Exception.h>

#include <chrono>

#include "transport/monotonic_clock.h"

namespace limpetlever {

namespace {

constexpr auto kCheckPeriod = std::chrono::milliseconds(100);

void Shutdown(Poco::Net::StreamSocket& socket, bool also_writes) {
  try {
    if (also_writes) {
      socket.shutdown();
    } else {
      socket.shutdownReceive();
    }
  } catch (const Poco::Exception&) {  // NOLINT: the client has already closed the connection.
  }
}

}  // namespace

connection_guard::connection_guard(duration time_limit)
    : time_limit_(time_limit), thread_([this] { EnforceTimeLimits(); }) {}

connection_guard::~connection_guard() {
  Stop();
  {
    const std::lock_guard lock(mutex_);
    is_destroying_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

std::optional<std::uint64_t> connection_guard::Add(const Poco::Net::StreamSocket& socket) {
  const std::lock_guard lock(mutex_);
  if (is_stopping_) {
    return std::nullopt;
  }
  connections_.emplace(next_id_, connection{.socket = socket, .deadline = std::nullopt});
  return next_id_++;
}

void connection_guard::Remove(std::uint64_t id) {
  const std::lock_guard lock(mutex_);
  connections_.erase(id);
}

void connection_guard::SetActivity(std::uint64_t id,
                                   activity state,
                                   std::optional<instant> deadline) {
  const std::lock_guard lock(mutex_);
  const auto found = connections_.find(id);
  if (found != connections_.end()) {
    found->second.state = state;
    found->second.deadline = deadline;
  }
}

void connection_guard::BeginRead(std::uint64_t id) {
  SetActivity(id, activity::reading, MonotonicNow() + time_limit_);
}

bool connection_guard::EndRead(std::uint64_t id) {
  const std::lock_guard lock(mutex_);
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return false;
  }
  found->second.state = activity::running;
  found->second.deadline.reset();
  return !found->second.has_expired;
}

void connection_guard::BeginWrite(std::uint64_t id) {
  SetActivity(id, activity::writing, MonotonicNow() + time_limit_);
}

void connection_guard::EndWrite(std::uint64_t id) {
  SetActivity(id, activity::idle, std::nullopt);
}

void connection_guard::Stop() {
  const std::lock_guard lock(mutex_);
  is_stopping_ = true;
  for (auto& [id, entry] : connections_) {
    if (entry.state == activity::idle || entry.state == activity::reading) {
      Shutdown(entry.socket, false);
    }
  }
}

bool connection_guard::is_stopping() const {
  const std::lock_guard lock(mutex_);
  return is_stopping_;
}

void connection_guard::EnforceTimeLimits() {
  std::unique_lock lock(mutex_);
  while (!wake_.wait_for(lock, kCheckPeriod, [this] { return is_destroying_; })) {
    const instant now = MonotonicNow();
    for (auto& [id, entry] : connections_) {
      if (entry.deadline && now >= *entry.deadline) {
        entry.deadline.reset();
        entry.has_expired = true;
        Shutdown(entry.socket, entry.state == activity::writing);
      }
    }
  }
}

}  // namespace limpetlever
