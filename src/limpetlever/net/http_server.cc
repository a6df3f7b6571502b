#include "net/http_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "net/server_connection.h"

namespace limpetlever {

namespace {

// How exact the time limits of idle connections are.
constexpr duration kSweepPeriod = std::chrono::milliseconds(500);
// Connections taken in one wake-up, so that a burst of callers does not hold up answers.
constexpr int kMostAccepts = 16;
constexpr int kRequestTimeout = 408;

}  // namespace

http_server::http_server(event_loop& loop, socket_handle listener, request_function on_request)
    : loop_(loop),
      listener_(std::move(listener)),
      watch_(std::make_unique<io_watch>(loop, listener_.fd(), *this)),
      on_request_(std::move(on_request)) {
  watch_->WantRead(true);
  sweep_ = loop_.timers().SubscribeEvery(loop_.Now() + kSweepPeriod, kSweepPeriod,
                                         [this](instant) { CloseOverdue(); });
}

http_server::~http_server() {
  loop_.timers().Cancel(sweep_);
}

void http_server::StopListening() {
  watch_.reset();
  listener_ = socket_handle();
}

void http_server::OnReadable() {
  for (int i = 0; i < kMostAccepts; ++i) {
    socket_handle handle = Accept(listener_.fd());
    if (!handle.is_open()) {
      return;
    }
    auto connection = std::make_shared<server_connection>(*this, std::move(handle));
    connections_.emplace(connection.get(), connection);
    if (most_connections_ != 0 && connections_.size() >= most_connections_) {
      watch_->WantRead(false);
      return;
    }
  }
}

void http_server::Remove(server_connection& connection) {
  // Destroyed after the current batch: a request may still refer to it.
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
        return item.second->IsWaiting() || item.second->closes_after_write_;
      }));
}

void http_server::CloseOverdue() {
  std::vector<std::shared_ptr<server_connection>> overdue;
  for (const auto& [key, connection] : connections_) {
    if (connection->IsOverdue(loop_.Now())) {
      overdue.push_back(connection);
    }
  }
  for (const auto& connection : overdue) {
    if (connection->reader_.HasBegun() && !connection->closes_after_write_) {
      connection->Refuse(kRequestTimeout);
    } else {
      connection->Close();
    }
  }
}

}  // namespace limpetlever
