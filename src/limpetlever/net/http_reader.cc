#include "net/http_reader.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

namespace limpetlever {

namespace {

constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr int kLastInformationalStatus = 199;  // 1xx responses precede the final one
constexpr int kSwitchingProtocols = 101;
// Position after the status of "HTTP/1.1 200".
constexpr std::size_t kStatusEnd = 12;

/** Whether a response may have this status. No request asks for another protocol. */
bool IsStatus(unsigned status) {
  return status >= kFirstStatus && status <= kLastStatus && status != kSwitchingProtocols;
}

}  // namespace

http_reader::http_reader(side message_side,
                         std::size_t max_header_bytes,
                         std::size_t max_body_bytes)
    : side_(message_side), max_header_bytes_(max_header_bytes), max_body_bytes_(max_body_bytes) {
  BeginMessage();
}

void http_reader::SetLimits(std::size_t max_header_bytes, std::size_t max_body_bytes) {
  max_header_bytes_ = max_header_bytes;
  max_body_bytes_ = max_body_bytes;
}

const http_parser_settings& http_reader::Settings() {
  static const http_parser_settings shared_settings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = &http_reader::OnTarget;
    settings.on_header_field = &http_reader::OnName;
    settings.on_header_value = &http_reader::OnValue;
    settings.on_headers_complete = &http_reader::OnHeadersComplete;
    settings.on_body = &http_reader::OnBody;
    settings.on_message_complete = &http_reader::OnMessageComplete;
    return settings;
  }();
  return shared_settings;
}

int http_reader::CheckHeaderSize() {
  if (message_.header_bytes() + message_.target.size() > max_header_bytes_) {
    state_ = state::header_too_large;
    return 1;
  }
  return 0;
}

int http_reader::OnTarget(http_parser* parser, const char* at, std::size_t size) {
  http_reader& self = Self(parser);
  self.message_.target.append(at, size);
  return self.CheckHeaderSize();
}

int http_reader::OnName(http_parser* parser, const char* at, std::size_t size) {
  http_reader& self = Self(parser);
  // Trailer fields after a chunked body are ignored.
  if (self.has_header_) {
    return 0;
  }
  // Debian's build of http-parser accepts a space in a field name; other parsers read such a line
  // differently.
  if (std::string_view(at, size).find(' ') != std::string_view::npos) {
    self.state_ = state::malformed;
    return 1;
  }
  self.message_.AppendName({at, size});
  return self.CheckHeaderSize();
}

int http_reader::OnValue(http_parser* parser, const char* at, std::size_t size) {
  http_reader& self = Self(parser);
  if (self.has_header_) {
    return 0;
  }
  self.message_.AppendValue({at, size});
  return self.CheckHeaderSize();
}

int http_reader::OnHeadersComplete(http_parser* parser) {
  http_reader& self = Self(parser);
  self.has_header_ = true;
  const bool states_length = (parser->flags & F_CONTENTLENGTH) != 0;
  self.expected_body_bytes_ =
      states_length ? std::min<std::uint64_t>(parser->content_length, self.max_body_bytes_)
                    : self.max_body_bytes_;
  if (self.side_ == side::requests) {
    self.message_.method = http_method_str(static_cast<http_method>(parser->method));
    if (states_length && parser->content_length > self.max_body_bytes_) {
      self.state_ = state::body_too_large;
      return -1;
    }
  } else if (!IsStatus(parser->status_code)) {
    self.state_ = state::malformed;
    return -1;
  } else {
    self.message_.status = static_cast<int>(parser->status_code);
  }
  return self.expects_no_body_ ? 1 : 0;
}

int http_reader::OnBody(http_parser* parser, const char* at, std::size_t size) {
  http_reader& self = Self(parser);
  if (self.message_.body.size() + size > self.max_body_bytes_) {
    self.state_ = state::body_too_large;
    return 1;
  }
  self.ReserveBody(size);
  self.message_.body.append(at, size);
  return 0;
}

void http_reader::ReserveBody(std::size_t size) {
  std::string& body = message_.body;
  const std::size_t needed = body.size() + size;
  if (needed <= body.capacity()) {
    return;
  }
  // A string that grows by itself takes up to twice the memory of its text.
  std::string larger;
  larger.reserve(std::max(needed, std::min(2 * needed, expected_body_bytes_)));
  larger += body;
  body = std::move(larger);
}

int http_reader::OnMessageComplete(http_parser* parser) {
  http_reader& self = Self(parser);
  if (self.side_ == side::responses && parser->status_code <= kLastInformationalStatus) {
    self.is_interim_ = true;
    http_parser_pause(parser, 1);
    return 0;
  }
  self.message_.keeps_alive = http_should_keep_alive(parser) != 0;
  self.state_ = state::complete;
  http_parser_pause(parser, 1);
  return 0;
}

bool http_reader::HasAmbiguousLines(std::string_view bytes) {
  for (const char byte : bytes) {
    const bool is_bare_line_end = byte == '\n' && last_byte_ != '\r';
    const bool is_folded = last_byte_ == '\n' && (byte == ' ' || byte == '\t');
    // The parser also takes "0200" for 200.
    const bool is_status_too_long = side_ == side::responses && !has_start_line_ &&
                                    line_bytes_ == kStatusEnd && byte != ' ' && byte != '\r' &&
                                    byte != '\n';
    if (is_bare_line_end || is_folded || is_status_too_long) {
      return true;
    }
    if (byte == '\n') {
      is_header_checked_ = has_start_line_ && line_bytes_ == 0;
      if (is_header_checked_) {
        return false;
      }
      has_start_line_ = has_start_line_ || line_bytes_ > 0;
      line_bytes_ = 0;
    } else if (byte != '\r') {
      ++line_bytes_;
    }
    last_byte_ = byte;
  }
  return false;
}

std::size_t http_reader::Feed(std::string_view bytes) {
  if (state_ != state::reading || bytes.empty()) {
    return 0;
  }
  std::size_t used = 0;
  do {
    used += FeedMessage(bytes.substr(used));
    if (is_interim_) {
      Next();
    }
  } while (used < bytes.size() && state_ == state::reading);
  return used;
}

std::size_t http_reader::FeedMessage(std::string_view bytes) {
  if (!is_header_checked_ && HasAmbiguousLines(bytes)) {
    state_ = state::malformed;
    return bytes.size();
  }
  has_begun_ = true;
  const std::size_t used = http_parser_execute(&parser_, &Settings(), bytes.data(), bytes.size());
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (error != HPE_OK && error != HPE_PAUSED && state_ == state::reading) {
    state_ = state::malformed;
  }
  return used;
}

void http_reader::FeedEndOfStream() {
  if (state_ != state::reading || !has_begun_) {
    return;
  }
  http_parser_execute(&parser_, &Settings(), nullptr, 0);
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (state_ == state::reading && error != HPE_OK) {
    state_ = state::malformed;
  }
}

void http_reader::BeginMessage() {
  http_parser_init(&parser_, side_ == side::requests ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
  state_ = state::reading;
  has_begun_ = false;
  has_header_ = false;
  is_interim_ = false;
  last_byte_ = 0;
  line_bytes_ = 0;
  has_start_line_ = false;
  is_header_checked_ = false;
}

void http_reader::Next() {
  message_.Clear();
  BeginMessage();
}

}  // namespace limpetlever
