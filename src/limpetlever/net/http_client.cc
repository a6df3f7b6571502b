#include "net/http_client.h"

#include <charconv>
#include <utility>

#include "net/event_loop.h"

namespace limpetlever {

namespace {

// Much larger than the header of any answer; bounds the memory use of a small host.
constexpr std::size_t kMaxHeaderBytes = 64 * 1024;

// Interim answers, answers to earlier requests and the framing of chunks, which the limits of the
// header and the body do not cover.
constexpr std::size_t kMaxOverheadBytes = 256 * 1024;

socket_handle ConnectOrClosed(const socket_address& address) {
  auto handle = BeginConnect(address);
  return handle ? std::move(handle.value()) : socket_handle();
}

/** Parses "timeout=N", in seconds, of a Keep-Alive field; zero if there is none. */
duration ParseIdleTimeout(std::string_view value) {
  constexpr std::string_view kKey = "timeout=";
  const std::size_t at = value.find(kKey);
  if (at == std::string_view::npos) {
    return duration::zero();
  }
  int seconds = 0;
  const char* begin = value.data() + at + kKey.size();
  const auto [end, error] = std::from_chars(begin, value.data() + value.size(), seconds);
  return error == std::errc() ? std::chrono::seconds(seconds) : duration::zero();
}

}  // namespace

http_client::http_client(event_loop& loop,
                         const socket_address& address,
                         std::size_t max_body_bytes,
                         duration unacknowledged_timeout,
                         handler& target,
                         std::shared_ptr<receive_memory> memory)
    : loop_(loop),
      handler_(target),
      reader_(http_reader::side::responses, kMaxHeaderBytes, max_body_bytes),
      memory_(std::move(memory)),
      max_received_bytes_(2 * max_body_bytes + kMaxOverheadBytes),
      socket_(loop, ConnectOrClosed(address), true, *this),
      last_used_(loop.Now()) {
  SetUnacknowledgedTimeout(socket_.fd(), unacknowledged_timeout);
  SetKeepAliveProbes(socket_.fd());
}

http_client::~http_client() {
  ReleaseMemory();
}

void http_client::HoldMemory() {
  if (memory_) {
    memory_->Hold(*this, reader_.message().memory_bytes());
  }
}

void http_client::ReleaseMemory() {
  if (memory_) {
    memory_->Release(*this);
  }
}

void http_client::OnMemoryReclaimed() {
  ReleaseMemory();
  End(end_reason::malformed);
}

void http_client::OnConnected() {
  is_connected_ = true;
  last_used_ = loop_.Now();
  handler_.OnConnected(*this);
}

void http_client::Send(outgoing_request request, bool is_head) {
  is_busy_ = true;
  last_received_.reset();
  received_bytes_ = 0;
  reader_.Next();
  reader_.ExpectNoBody(is_head);
  socket_.Write(std::move(request.head), std::move(request.body));
}

bool http_client::DeliverResponse() {
  ReleaseMemory();
  http_message& response = reader_.message();
  is_reusable_ = response.keeps_alive;
  if (const auto value = response.Find("Keep-Alive"); !value.empty()) {
    idle_timeout_ = ParseIdleTimeout(value);
  }
  last_used_ = loop_.Now();
  is_busy_ = false;
  const bool is_expected = handler_.OnResponse(*this, response);
  if (!is_expected) {
    is_busy_ = true;
    reader_.Next();
  }
  return is_expected;
}

void http_client::OnBytes(std::string_view bytes) {
  if (!is_busy_) {
    End(end_reason::unexpected_bytes);
    return;
  }
  last_received_ = loop_.Now();
  received_bytes_ += bytes.size();
  if (received_bytes_ > max_received_bytes_) {
    End(end_reason::malformed);
    return;
  }
  while (!bytes.empty()) {
    bytes.remove_prefix(reader_.Feed(bytes));
    if (reader_.current() == http_reader::state::reading) {
      HoldMemory();
      return;
    }
    if (reader_.current() != http_reader::state::complete) {
      End(end_reason::malformed);
      return;
    }
    if (!bytes.empty()) {
      // Bytes after a complete response belong to no request, so the connection is not reused.
      reader_.message().keeps_alive = false;
    }
    if (DeliverResponse()) {
      return;
    }
  }
}

void http_client::OnEnd() {
  if (!is_busy_) {
    End(end_reason::idle_closed);
    return;
  }
  reader_.FeedEndOfStream();
  if (reader_.current() == http_reader::state::complete) {
    reader_.message().keeps_alive = false;
    if (DeliverResponse()) {
      return;
    }
  }
  End(end_reason::lost);
}

void http_client::OnError(int) {
  if (!is_connected_) {
    End(end_reason::not_connected);
  } else {
    End(is_busy_ ? end_reason::lost : end_reason::idle_closed);
  }
}

void http_client::End(end_reason reason) {
  ReleaseMemory();
  if (!std::exchange(is_ended_, true)) {
    is_reusable_ = false;
    handler_.OnEnded(*this, reason);
  }
}

const char* ToString(http_client::end_reason reason) {
  switch (reason) {
    case http_client::end_reason::not_connected:
      return "not_connected";
    case http_client::end_reason::idle_closed:
      return "idle_closed";
    case http_client::end_reason::unexpected_bytes:
      return "unexpected_bytes";
    case http_client::end_reason::lost:
      return "lost";
    case http_client::end_reason::malformed:
      return "malformed";
  }
  return "unknown";
}

}  // namespace limpetlever
