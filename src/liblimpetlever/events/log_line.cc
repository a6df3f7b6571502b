#include "events/log_line.h"

#include <array>
#include <charconv>
#include <variant>

namespace limpetlever {

namespace {

// Texts may come from entries of other writers or from callers.
constexpr std::size_t kMaxTextBytes = 1024;

void AppendNumber(std::string& out, std::int64_t number) {
  std::array<char, 24> text{};
  const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), number);
  out.append(text.data(), end);
}

void AppendNumber(std::string& out, double number) {
  std::array<char, 64> text{};
  const auto [end, error] =
      std::to_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed, 3);
  out.append(text.data(), error == std::errc() ? end : text.data());
}

void AppendText(std::string& out, std::string_view text) {
  constexpr std::string_view kHex = "0123456789abcdef";
  out += '"';
  for (const char c : text.substr(0, kMaxTextBytes)) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (byte < 0x20 || byte >= 0x7f) {
      out += "\\u00";
      out += kHex[byte >> 4];
      out += kHex[byte & 15];
    } else {
      out += c;
    }
  }
  if (text.size() > kMaxTextBytes) {
    out += "...";
  }
  out += '"';
}

}  // namespace

void AppendLogLine(std::string& out,
                   const log_line_header& origin,
                   event_number number,
                   std::span<const log_field> fields) {
  out += "{\"time_us\":";
  AppendNumber(out, static_cast<std::int64_t>(origin.time.time_since_epoch().count()));
  out += ",\"host\":";
  AppendText(out, origin.host);
  out += ",\"seq\":";
  AppendNumber(out, static_cast<std::int64_t>(origin.sequence));
  out += ",\"number\":";
  AppendNumber(out, static_cast<std::int64_t>(number));
  out += ",\"event\":";
  AppendText(out, ToString(number));
  for (const log_field& field : fields) {
    out += ",\"";
    out += field.name;
    out += "\":";
    if (const auto* text = std::get_if<std::string_view>(&field.value)) {
      AppendText(out, *text);
    } else if (const auto* integer = std::get_if<std::int64_t>(&field.value)) {
      AppendNumber(out, *integer);
    } else {
      AppendNumber(out, std::get<double>(field.value));
    }
  }
  out += "}\n";
}

}  // namespace limpetlever
