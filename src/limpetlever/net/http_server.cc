#include "net/http_server.h"

#include <algorithm>
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

}  // namespace

http_server::http_server(event_loop& loop, socket_handle listener, request_function on_request)
    : loop_(loop),
      listener_(std::move(listener)),
      watch_(std::make_unique<io_watch>(loop, listener_.fd(), *this)),
      on_request_(std::move(on_request)) {
  watch_->WantRead(true);
  sweep_ = loop_.timers().SubscribeEvery(loop_.Now() + kSweepPeriod, kSweepPeriod,
                                         [this](instant) { CloseTimedOut(); });
}

http_server::~http_server() {
  loop_.timers().Cancel(sweep_);
}

void http_server::StopListening() {
  watch_.reset();
  listener_ = socket_handle();
}

void http_server::OnReadable() {
  for (int i = 0; i < kMaxAcceptsPerWakeup; ++i) {
    socket_handle handle = Accept(listener_.fd());
    if (!handle.is_open()) {
      return;
    }
    auto connection = std::make_shared<server_connection>(*this, std::move(handle));
    connections_.emplace(connection.get(), connection);
    if (max_connections_ != 0 && connections_.size() >= max_connections_) {
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
  if (watch_) {
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
}

}  // namespace limpetlever
