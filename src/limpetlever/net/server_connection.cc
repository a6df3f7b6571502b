#include "net/server_connection.h"

#include <algorithm>
#include <utility>

#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/http_text.h"

namespace limpetlever {

namespace {

// Pipelined bytes held while a request is being handled; beyond that, reading is paused.
constexpr std::size_t kMaxPendingBytes = 8 * 1024;
// Time that a caller has to close its side after the last answer.
constexpr duration kCloseTimeout = std::chrono::seconds(1);
// Tells a caller whose request was refused for want of memory or connections when to come back.
constexpr const char* kRetryAfterSeconds = "1";
constexpr int kBadRequest = 400;
constexpr int kBodyTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kUnavailable = 503;

}  // namespace

server_connection::server_connection(http_server& server, socket_handle handle)
    : server_(server),
      socket_(server.loop(), std::move(handle), false, *this),
      reader_(http_reader::side::requests,
              server.limits().max_header_bytes,
              server.limits().max_body_bytes),
      last_request_(server.loop().Now()),
      last_activity_(server.loop().Now()) {}

bool server_connection::MayRead() const {
  return is_open_ && !has_open_request_ && !closes_after_write_ && socket_.unsent_bytes() == 0;
}

void server_connection::OnBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (!is_open_ || closes_after_write_) {
    return;
  }
  last_activity_ = server_.loop().Now();
  if (!MayRead()) {
    Keep(bytes);
    return;
  }
  Read(bytes);
}

void server_connection::Keep(std::string_view bytes) {
  pending_ += bytes;
  if (pending_.size() > kMaxPendingBytes || !server_.memory_.Admits(pending_.size())) {
    socket_.PauseReading(true);
  }
  if (has_open_request_) {
    open_bytes_ += bytes.size();
    server_.memory_.AddOpen(bytes.size());
  } else {
    HoldUnfinished();
  }
}

void server_connection::Read(std::string_view bytes) {
  // Keeps an Answer from within the request function from parsing the next request recursively.
  is_reading_ = true;
  while (MayRead() && !bytes.empty()) {
    bytes.remove_prefix(reader_.Feed(bytes));
    switch (reader_.current()) {
      case http_reader::state::reading:
        is_reading_ = false;
        HoldUnfinished();
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
        BeginRequest();
        break;
    }
  }
  is_reading_ = false;
  if (is_open_ && !closes_after_write_ && !bytes.empty()) {
    Keep(bytes);
  }
}

void server_connection::BeginRequest() {
  ReleaseMemory();
  if (request().Count("Host") != 1) {
    Refuse(kBadRequest);
    return;
  }
  // The header is encoded once more for the backend servers.
  const std::size_t bytes = request().memory_bytes() + request().header_bytes();
  if (!server_.memory_.Admits(bytes)) {
    server_.ReportGivenUp(http_server::give_up_cause::memory, bytes);
    Refuse(kUnavailable);
    return;
  }
  open_bytes_ = bytes;
  server_.memory_.AddOpen(bytes);
  has_open_request_ = true;
  request_time_ = server_.loop().Now();
  server_.on_request_(shared_from_this());
}

void server_connection::Continue() {
  if (is_reading_ || !MayRead()) {
    return;
  }
  socket_.PauseReading(false);
  if (!pending_.empty()) {
    const std::string bytes = std::exchange(pending_, {});
    Read(bytes);
  }
}

void server_connection::OnSent() {
  const auto self = shared_from_this();
  if (!is_open_) {
    return;
  }
  last_activity_ = server_.loop().Now();
  ReleaseMemory();
  Continue();
}

std::size_t server_connection::UnfinishedBytes() const {
  return reader_.message().memory_bytes() + pending_.capacity() + socket_.unsent_bytes();
}

void server_connection::HoldUnfinished() {
  server_.memory_.unfinished().Hold(*this, UnfinishedBytes());
}

void server_connection::ReleaseMemory() {
  server_.memory_.unfinished().Release(*this);
  server_.memory_.RemoveOpen(std::exchange(open_bytes_, 0));
}

void server_connection::OnMemoryReclaimed() {
  const auto self = shared_from_this();
  GiveUp(http_server::give_up_cause::memory);
}

void server_connection::GiveUp(http_server::give_up_cause cause) {
  if (!is_open_) {
    return;
  }
  server_.ReportGivenUp(cause, UnfinishedBytes());
  ReleaseMemory();
  if (socket_.unsent_bytes() > 0 || closes_after_write_) {
    Abort();
  } else if (reader_.HasBegun()) {
    Refuse(kUnavailable);
  } else {
    Close();
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
  ReleaseMemory();
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
  last_request_ = last_activity_;
  reader_.Next();
  reader_.SetLimits(server_.limits().max_header_bytes, server_.limits().max_body_bytes);
  socket_.Write(out);
  if (closes) {
    // Closing at once could reset the connection and lose the answer.
    closes_after_write_ = true;
    pending_ = {};
    socket_.PauseReading(false);
    socket_.EndWriting();
  }
  if (socket_.unsent_bytes() > 0) {
    // Nothing more is read until the caller has taken its answer.
    socket_.PauseReading(!closes);
    HoldUnfinished();
    return;
  }
  Continue();
}

void server_connection::Refuse(int status) {
  has_open_request_ = true;
  std::string head;
  AppendStatusLine(head, status);
  if (status == kUnavailable) {
    AppendField(head, "Retry-After", kRetryAfterSeconds);
  }
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
  ReleaseMemory();
  pending_ = {};
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
  if (socket_.unsent_bytes() > 0) {
    return now - std::max(last_activity_, socket_.last_sent()) > server_.limits().idle_timeout;
  }
  if (closes_after_write_) {
    return now - last_activity_ > kCloseTimeout;
  }
  const auto& limits = server_.limits();
  return now - last_activity_ > (reader_.HasBegun() ? limits.header_timeout : limits.idle_timeout);
}

}  // namespace limpetlever
