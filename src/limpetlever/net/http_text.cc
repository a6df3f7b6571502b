#include "net/http_text.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <charconv>

#include "net/http_message.h"

namespace limpetlever {

namespace {

constexpr std::array<std::string_view, 9> kHopByHopFields = {"Connection",
                                                             "Keep-Alive",
                                                             "Proxy-Authenticate",
                                                             "Proxy-Authorization",
                                                             "Proxy-Connection",
                                                             "TE",
                                                             "Trailer",
                                                             "Transfer-Encoding",
                                                             "Upgrade"};

}  // namespace

void AppendStatusLine(std::string& out, int status) {
  out += "HTTP/1.1 ";
  out += std::to_string(status);
  out += ' ';
  out += http_status_str(static_cast<http_status>(status));
  out += "\r\n";
}

void AppendRequestLine(std::string& out, std::string_view method, std::string_view target) {
  out += method;
  out += ' ';
  out += target;
  out += " HTTP/1.1\r\n";
}

void AppendField(std::string& out, std::string_view name, std::string_view value) {
  out += name;
  out += ": ";
  out += value;
  out += "\r\n";
}

void AppendBody(std::string& out, std::string_view body) {
  AppendField(out, "Content-Length", std::to_string(body.size()));
  out += "\r\n";
  out += body;
}

std::string SimpleResponse(int status, std::string_view content_type, std::string_view body) {
  std::string out;
  AppendStatusLine(out, status);
  if (!content_type.empty()) {
    AppendField(out, "Content-Type", content_type);
  }
  AppendBody(out, body);
  return out;
}

std::string PercentDecode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    const bool is_escape =
        text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(&text[i + 1], &text[i + 1] + 2, value, 16).ptr == &text[i + 1] + 2;
    out += is_escape ? static_cast<char>(value) : text[i];
    i += is_escape ? 2 : 0;
  }
  return out;
}

bool IsHopByHopField(std::string_view name) {
  return std::any_of(kHopByHopFields.begin(), kHopByHopFields.end(),
                     [name](std::string_view hop) { return IsSameFieldName(name, hop); });
}

}  // namespace limpetlever
