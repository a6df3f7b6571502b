#ifndef LIMPETLEVER_CONFIG_SERVICE_SETTINGS_H_
#define LIMPETLEVER_CONFIG_SERVICE_SETTINGS_H_

#include <string>

#include "base/time_types.h"

namespace limpetlever {

/** Settings of one service in the operators' configuration. */
struct service_settings {
  std::string name;
  /** Maximum number of connections to one backend server from all hosts together. */
  int max_connections = 0;
  /** Path of the health check of a backend server; empty if there is none. */
  std::string health_path = {};
  /** Duration of a backend server's warm-up after its start. */
  duration warm_up{};
  /** Requests per second that a cold backend server can handle; 0 if not configured. */
  double cold_requests_per_s = 0.0;

  bool operator==(const service_settings&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONFIG_SERVICE_SETTINGS_H_
