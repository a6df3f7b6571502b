#include "base/socket_address.h"

#include <arpa/inet.h>

#include <charconv>

namespace limpetlever {

std::optional<socket_address> ParseSocketAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  socket_address address{.ip = text.substr(0, colon), .port = 0};
  const char* const end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data() + colon + 1, end, address.port);
  in_addr binary_address{};
  // inet_pton reads up to a NUL only.
  const bool has_nul = address.ip.find('\0') != std::string::npos;
  if (has_nul || error != std::errc() || parsed_end != end || address.port == 0 ||
      inet_pton(AF_INET, address.ip.c_str(), &binary_address) != 1) {
    return std::nullopt;
  }
  return address;
}

}  // namespace limpetlever
