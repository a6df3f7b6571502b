#ifndef LIMPETLEVER_NODE_NODE_SETTINGS_H_
#define LIMPETLEVER_NODE_NODE_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/socket_address.h"
#include "base/time_types.h"

namespace limpetlever {

/**
 * Settings of one limpetlever-node process, read from a JSON file that may contain comments;
 * docs/operators/settings.md describes them.
 */
struct node_settings {
  std::string name;
  std::string region;
  std::string data_centre;
  /** Listens for requests of callers. */
  socket_address caller_address;
  /** Listens for readiness probes of the platform. */
  socket_address readiness_address;
  /** Listens for directory look-ups, in which callers ask which hosts to use; optional. */
  std::optional<socket_address> directory_address;
  /** Receives messages of other hosts: UDP probes and gossip, TCP for relayed store changes. */
  socket_address peer_address;
  socket_address metrics_address;
  socket_address store_address;
  /** Processor time of this host, in thousandths of a core. */
  int processor_share = 1000;
  /** File descriptors that the process may open. */
  int max_descriptors = 1024;
  /** Memory that the process may take, in bytes. */
  std::size_t max_memory = std::size_t{128} * 1024 * 1024;
  /** Time that the platform leaves between SIGTERM and SIGKILL. */
  duration grace_time = std::chrono::seconds(6);
  /** The longest lifetime of a directory answer that callers accept. */
  duration max_advice_lifetime = std::chrono::seconds(5);
  /** How often a backend server writes its entry in the store. */
  duration server_heartbeat = std::chrono::milliseconds(1200);
  /**
   * Retry budget of the whole fleet: hedges and retries allowed within `retry_window`, as a
   * fraction of the requests in it.
   */
  double retry_ratio = 0.2;
  /** Hedges and retries that the fleet may send within `retry_window` in addition to the ratio. */
  double retry_slack = 100.0;
  /** Length of the window over which the retry budget is counted. */
  duration retry_window = std::chrono::seconds(10);

  bool operator==(const node_settings&) const = default;
};

/**
 * Rejects all settings on the first invalid field; the error names `source`, the field and the
 * allowed values.
 */
result<node_settings> ParseNodeSettings(std::string_view text, std::string_view source);

/** Reads the file at `path` and parses it with ParseNodeSettings. */
result<node_settings> ReadNodeSettings(const std::string& path);

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_NODE_SETTINGS_H_
