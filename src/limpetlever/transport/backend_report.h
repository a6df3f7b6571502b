#ifndef LIMPETLEVER_TRANSPORT_BACKEND_REPORT_H_
#define LIMPETLEVER_TRANSPORT_BACKEND_REPORT_H_

#include <string>
#include <vector>

#include "routing/held_version.h"

namespace limpetlever {

/** The status that a backend server reports at GET /status; it may be out of date or wrong. */
struct backend_report {
  std::string instance_id;
  bool draining = false;
  /** Share of the server's capacity in use, 0 to 1. */
  double load = 0.0;
  int slots = 0;
  std::vector<held_version> versions;

  bool operator==(const backend_report&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_BACKEND_REPORT_H_
