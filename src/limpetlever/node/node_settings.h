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

/** Settings of one serving process, read from JSON with comments; docs/operators/settings.md. */
struct node_settings {
  std::string name;
  std::string region;
  std::string data_centre;
  /** Where callers send requests. */
  socket_address caller_address;
  /** Where the platform asks whether this host is ready. */
  socket_address readiness_address;
  /** Where callers ask which hosts to use; absent on a host that does not answer that. */
  std::optional<socket_address> directory_address;
  /** Where other hosts reach this one. */
  socket_address peer_address;
  socket_address metrics_address;
  socket_address store_address;
  /** Processor time of this host, in thousandths of a core. */
  int processor_share = 1000;
  /** File descriptors that the process may open. */
  int max_descriptors = 1024;
  /** Between SIGTERM and SIGKILL. */
  duration grace_time = std::chrono::seconds(6);
  /** The longest lifetime of a directory answer that callers honour. */
  duration max_advice_lifetime = std::chrono::seconds(5);
  /** Bound for the fleet: extra attempts for each request in a window. */
  double retry_ratio = 0.2;
  /** Bound for the fleet: extra attempts in a window beside the ratio. */
  double retry_slack = 100.0;
  /** The window of that bound. */
  duration retry_window = std::chrono::seconds(10);

  bool operator==(const node_settings&) const = default;
};

/** Refuses the settings whole on the first mistake, with the field and what is allowed. */
result<node_settings> ParseNodeSettings(std::string_view text, std::string_view source);

/** Reads and parses a file. */
result<node_settings> ReadNodeSettings(const std::string& path);

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_NODE_SETTINGS_H_
