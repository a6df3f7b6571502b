#include "net/server_connection.h"

#include <utility>

#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/http_text.h"

namespace limpetlever {

namespace {

// Pipelined bytes held while a request is being handled; beyond that, reading is paused.
constexpr std::size_t kMaxPendingBytes = 64 * 1024;
// Time that a caller has to close its side after the last answer.
constexpr duration kCloseTimeout = std::chrono::seconds(1);
constexpr int kBadRequest = 400;
constexpr int kBodyTooLarge = 413;
constexpr int kHeaderTooLarge = 431;

}  // namespace

server_connection::server_connection(http_server& server, socket_handle handle)
    : server_(server),
      socket_(server.loop(), std::move(handle), false, *this),
      reader_(http_reader::side::requests,
              server.limits().max_header_bytes,
              server.limits().max_body_bytes),
      last_activity_(server.loop().Now()) {}

void server_connection::OnBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  last_activity_ = server_.loop().Now();
  if (closes_after_write_) {
    return;
  }
  if (has_open_request_) {
    pending_ += bytes;
    if (pending_.size() > kMaxPendingBytes) {
      socket_.PauseReading(true);
    }
    return;
  }
  Read(bytes);
}

void server_connection::Read(std::string_view bytes) {
  // Keeps an Answer from within the request function from parsing the next request recursively.
  is_reading_ = true;
  while (is_open_ && !bytes.empty() && !has_open_request_ && !closes_after_write_) {
    bytes.remove_prefix(reader_.Feed(bytes));
    switch (reader_.current()) {
      case http_reader::state::reading:
        is_reading_ = false;
        return;
      case http_reader::state::malformed:
        Refuse(kBadRequest);
        break;
      case http_reader::state::header_too_large:
        Refuse(kHeaderTooLarge);
        break;
      case http_reader::state::body_too_large:
        Refuse(kBodyTooLarge);
        break;
      case http_reader::state::complete:
        if (request().Count("Host") != 1) {
          Refuse(kBadRequest);
          break;
        }
        has_open_request_ = true;
        request_time_ = server_.loop().Now();
        server_.on_request_(shared_from_this());
        break;
    }
  }
  is_reading_ = false;
  if (has_open_request_) {
    pending_ += bytes;
  }
}

const std::string& server_connection::peer_ip() {
  if (peer_ip_.empty()) {
    peer_ip_ = PeerIp(socket_.fd());
  }
  return peer_ip_;
}

void server_connection::Answer(std::string_view head, std::string_view body, bool is_last) {
  if (!is_open_ || !has_open_request_) {
    return;
  }
  const auto self = shared_from_this();
  has_open_request_ = false;
  on_caller_disconnected_ = nullptr;
  const bool closes = is_last || server_.IsDraining() || !request().keeps_alive;
  std::string out;
  out.reserve(head.size() + body.size() + 64);
  out += head;
  if (closes) {
    AppendField(out, "Connection", "close");
  }
  if (request().method == "HEAD") {
    AppendField(out, "Content-Length", std::to_string(body.size()));
    out += "\r\n";
  } else {
    AppendBody(out, body);
  }
  last_activity_ = server_.loop().Now();
  reader_.Next();
  reader_.SetLimits(server_.limits().max_header_bytes, server_.limits().max_body_bytes);
  socket_.Write(out);
  if (closes) {
    // Closing at once could reset the connection and lose the answer.
    closes_after_write_ = true;
    pending_.clear();
    socket_.EndWriting();
    return;
  }
  if (!is_reading_ && !pending_.empty()) {
    const std::string bytes = std::exchange(pending_, {});
    socket_.PauseReading(false);
    Read(bytes);
  }
}

void server_connection::Refuse(int status) {
  has_open_request_ = true;
  std::string head;
  AppendStatusLine(head, status);
  Answer(head, {}, true);
}

void server_connection::OnEnd() {
  const auto self = shared_from_this();
  Close();
}

void server_connection::OnError(int) {
  const auto self = shared_from_this();
  Close();
}

void server_connection::Abort() {
  const auto self = shared_from_this();
  on_caller_disconnected_ = nullptr;
  if (is_open_) {
    socket_.Reset();
  }
  Close();
}

void server_connection::Close() {
  if (!std::exchange(is_open_, false)) {
    return;
  }
  socket_.PauseReading(true);
  if (const auto call = std::exchange(on_caller_disconnected_, nullptr);
      call && has_open_request_) {
    call();
  }
  server_.Remove(*this);
}

bool server_connection::HasTimedOut(instant now) const {
  if (has_open_request_) {
    return false;
  }
  if (closes_after_write_) {
    return now - last_activity_ > kCloseTimeout;
  }
  const auto& limits = server_.limits();
  return now - last_activity_ > (reader_.HasBegun() ? limits.header_timeout : limits.idle_timeout);
}

}  // namespace limpetlever
