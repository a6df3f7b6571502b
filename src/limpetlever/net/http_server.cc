#include "net/http_server.h"

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "net/server_connection.h"

namespace limpetlever {

namespace {

// Resolution of the idle and header timeouts of connections.
constexpr duration kSweepPeriod = std::chrono::milliseconds(500);
// Connections accepted per wake-up, so that a burst of callers does not delay answers.
constexpr int kMaxAcceptsPerWakeup = 16;
constexpr int kRequestTimeout = 408;
// Bytes that the kernel holds for a connection count as memory of the host.
constexpr int kReceiveBufferBytes = 32 * 1024;
constexpr int kSendBufferBytes = 64 * 1024;
// Fraction of the connections that may be open above which those without progress are given up.
constexpr double kCrowdedFraction = 7.0 / 8.0;
// A connection that is younger, or was used since, has had no time to send a request.
constexpr duration kMinIdleTime = std::chrono::seconds(1);

}  // namespace

http_server::http_server(event_loop& loop, socket_handle listener, request_function on_request)
    : loop_(loop),
      listener_(std::move(listener)),
      watch_(std::make_unique<io_watch>(loop, listener_.fd(), *this)),
      on_request_(std::move(on_request)) {
  LimitBuffers(listener_.fd(), kReceiveBufferBytes, kSendBufferBytes);
  watch_->WantRead(true);
  sweep_ = loop_.timers().SubscribeEvery(loop_.Now() + kSweepPeriod, kSweepPeriod,
                                         [this](instant) { CloseTimedOut(); });
}

http_server::~http_server() {
  loop_.timers().Cancel(sweep_);
  // Requests that are being handled may keep their connections for longer.
  for (const auto& [key, connection] : connections_) {
    connection->is_open_ = false;
  }
}

void http_server::StopListening() {
  watch_.reset();
  listener_ = socket_handle();
}

void http_server::OnReadable() {
  for (int i = 0; i < kMaxAcceptsPerWakeup; ++i) {
    socket_handle handle = Accept(listener_.fd());
    if (!handle.is_open()) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        // The listener stays readable; the next sweep tries again.
        watch_->WantRead(false);
      }
      return;
    }
    auto connection = std::make_shared<server_connection>(*this, std::move(handle));
    connections_.emplace(connection.get(), connection);
    if (IsFull()) {
      watch_->WantRead(false);
      return;
    }
  }
}

void http_server::Remove(server_connection& connection) {
  // Destroyed after the current batch of work, since a request may still refer to it.
  if (const auto found = connections_.find(&connection); found != connections_.end()) {
    auto held = std::move(found->second);
    connections_.erase(found);
    loop_.Defer([held = std::move(held)] {});
  }
  if (watch_ && !IsFull()) {
    watch_->WantRead(true);
  }
}

std::size_t http_server::busy_count() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(), [](const auto& item) {
        return item.second->HasOpenRequest() || item.second->closes_after_write_;
      }));
}

void http_server::CloseTimedOut() {
  std::vector<std::shared_ptr<server_connection>> timed_out;
  for (const auto& [key, connection] : connections_) {
    if (connection->HasTimedOut(loop_.Now())) {
      timed_out.push_back(connection);
    }
  }
  for (const auto& connection : timed_out) {
    if (connection->reader_.HasBegun() && !connection->closes_after_write_) {
      connection->Refuse(kRequestTimeout);
    } else {
      connection->Close();
    }
  }
  GiveUpIdle();
  if (watch_ && !IsFull()) {
    watch_->WantRead(true);
  }
}

void http_server::GiveUpIdle() {
  const auto allowed =
      static_cast<std::size_t>(kCrowdedFraction * static_cast<double>(max_connections_));
  if (max_connections_ == 0 || connections_.size() <= allowed) {
    return;
  }
  std::vector<std::shared_ptr<server_connection>> idle;
  for (const auto& [key, connection] : connections_) {
    if (!connection->HasOpenRequest() && !connection->closes_after_write_ &&
        loop_.Now() - connection->last_request_ >= kMinIdleTime) {
      idle.push_back(connection);
    }
  }
  std::sort(idle.begin(), idle.end(),
            [](const auto& a, const auto& b) { return a->last_request_ < b->last_request_; });
  idle.resize(std::min(idle.size(), connections_.size() - allowed));
  for (const auto& connection : idle) {
    connection->GiveUp(give_up_cause::connections);
  }
}

void http_server::ReportGivenUp(give_up_cause cause, std::size_t bytes) {
  ++given_up_count_;
  if (on_given_up_) {
    on_given_up_(cause, bytes);
  }
}

}  // namespace limpetlever
