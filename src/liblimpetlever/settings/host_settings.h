#ifndef LIMPETLEVER_SETTINGS_HOST_SETTINGS_H_
#define LIMPETLEVER_SETTINGS_HOST_SETTINGS_H_

#include <string>

#include "base/result.h"

namespace limpetlever {

/** Settings of one host, read from a JSON file that may hold comments. Addresses are "IP:port". */
struct host_settings {
  std::string name;
  std::string region;
  std::string data_centre;
  /** Address on which this host accepts requests of callers and operators. */
  std::string http_address;
  /** Address on which this host accepts connections from other hosts. */
  std::string peer_address;
  /** Addresses of the platform's key-value service and host list. */
  std::string key_value_address;
  std::string host_list_address;
  /** Threads that serve caller connections; each serves one connection at a time. */
  int http_threads = 64;
  /** Threads that wait for backend servers; limits the attempts in flight from this host. */
  int backend_threads = 128;
  /** Limit on the size of a request body. */
  int max_body_bytes = 262'144;
  /** Time limit for a client to send one request, and to receive one response, in milliseconds. */
  int request_read_ms = 10'000;
  /** Number of recent events that the host keeps in memory. */
  int event_capacity = 8192;
  /** How long callers may keep an answer to GET /v1/hosts, in milliseconds. */
  int address_lifetime_ms = 10'000;

  bool operator==(const host_settings&) const = default;
};

/**
 * Parses the settings. Fails with invalid_input on the first error; the message names `source`, the
 * field and the values that are allowed.
 */
result<host_settings> ParseHostSettings(const std::string& text, const std::string& source);

}  // namespace limpetlever

#endif  // LIMPETLEVER_SETTINGS_HOST_SETTINGS_H_
