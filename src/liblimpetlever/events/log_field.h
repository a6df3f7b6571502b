#ifndef LIMPETLEVER_EVENTS_LOG_FIELD_H_
#define LIMPETLEVER_EVENTS_LOG_FIELD_H_

#include <concepts>
#include <cstdint>
#include <string_view>
#include <variant>

#include "base/time_types.h"

namespace limpetlever {

/** Named value of a log line. Refers to its name and text, so use it only as an argument. */
struct log_field {
  using value_type = std::variant<std::string_view, std::int64_t, double>;

  log_field(std::string_view field, std::string_view text) : name(field), value(text) {}
  log_field(std::string_view field, const char* text)
      : name(field), value(std::string_view(text)) {}
  log_field(std::string_view field, std::integral auto number)
      : name(field), value(static_cast<std::int64_t>(number)) {}
  log_field(std::string_view field, double number) : name(field), value(number) {}
  /** Logged in milliseconds; the name should end with "_ms". */
  log_field(std::string_view field, duration span)
      : name(field), value(static_cast<double>(span.count()) / 1000.0) {}

  std::string_view name;
  value_type value;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_EVENTS_LOG_FIELD_H_
