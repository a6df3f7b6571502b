#ifndef LIMPETLEVER_BASE_SOCKET_ADDRESS_H_
#define LIMPETLEVER_BASE_SOCKET_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>

namespace limpetlever {

/** An IPv4 address in dotted notation, and a port. */
struct socket_address {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const socket_address&) const = default;
};

/** Parses "IP:port"; nullopt unless it is an IPv4 address and a port from 1 to 65535. */
std::optional<socket_address> ParseSocketAddress(const std::string& text);

}  // namespace limpetlever

#endif  // LIMPETLEVER_BASE_SOCKET_ADDRESS_H_
