#ifndef LIMPETLEVER_CONFIG_SERVICE_SETTINGS_H_
#define LIMPETLEVER_CONFIG_SERVICE_SETTINGS_H_

#include <string>

#include "base/time_types.h"

namespace limpetlever {

/** What the operators state of one service. */
struct service_settings {
  std::string name;
  /** Connections that one backend server accepts from all hosts together. */
  int max_connections = 0;
  /** How long a backend server stays cold after its start. */
  duration warm_up{};
  /** Requests a second that a cold backend server bears; 0 states no rate. */
  double cold_requests_per_s = 0.0;

  bool operator==(const service_settings&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONFIG_SERVICE_SETTINGS_H_
