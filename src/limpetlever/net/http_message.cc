#include "net/http_message.h"

#include <strings.h>

namespace limpetlever {

namespace {

// Buffers of this size are kept for the next message. Many connections that are idle would keep
// larger ones for long.
constexpr std::size_t kMaxKeptBytes = 4 * 1024;

void ClearBuffer(std::string& buffer) {
  buffer.clear();
  if (buffer.capacity() > kMaxKeptBytes) {
    buffer.shrink_to_fit();
  }
}

}  // namespace

bool IsSameFieldName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

void http_message::Clear() {
  method.clear();
  target.clear();
  status = 0;
  ClearBuffer(body);
  keeps_alive = true;
  ClearBuffer(text_);
  fields_.clear();
  if (fields_.capacity() * sizeof(field_position) > kMaxKeptBytes) {
    fields_.shrink_to_fit();
  }
  is_in_value_ = true;
}

std::size_t http_message::memory_bytes() const {
  return body.capacity() + text_.capacity() + target.capacity() +
         fields_.capacity() * sizeof(field_position);
}

void http_message::AppendName(std::string_view text) {
  if (is_in_value_) {
    fields_.push_back({.name_at = static_cast<std::uint32_t>(text_.size())});
    is_in_value_ = false;
  }
  text_ += text;
  fields_.back().name_size += static_cast<std::uint32_t>(text.size());
}

void http_message::AppendValue(std::string_view text) {
  if (!is_in_value_) {
    fields_.back().value_at = static_cast<std::uint32_t>(text_.size());
    is_in_value_ = true;
  }
  text_ += text;
  fields_.back().value_size += static_cast<std::uint32_t>(text.size());
}

http_message::field http_message::FieldAt(std::size_t index) const {
  const field_position& item = fields_[index];
  const std::string_view text(text_);
  return {.name = text.substr(item.name_at, item.name_size),
          .value = text.substr(item.value_at, item.value_size)};
}

std::string_view http_message::Find(std::string_view name) const {
  for (std::size_t i = 0; i < fields_.size(); ++i) {
    const field item = FieldAt(i);
    if (IsSameFieldName(item.name, name)) {
      return item.value;
    }
  }
  return {};
}

std::size_t http_message::Count(std::string_view name) const {
  std::size_t count = 0;
  for (std::size_t i = 0; i < fields_.size(); ++i) {
    count += IsSameFieldName(FieldAt(i).name, name) ? 1 : 0;
  }
  return count;
}

}  // namespace limpetlever
