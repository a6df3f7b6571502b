#include "net/http_message.h"

#include <strings.h>

namespace limpetlever {

bool IsSameFieldName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

void http_message::Clear() {
  method.clear();
  target.clear();
  status = 0;
  body.clear();
  keeps_alive = true;
  text_.clear();
  fields_.clear();
  is_in_value_ = true;
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
