#ifndef LIMPETLEVER_TABLE_SERVICE_ROW_H_
#define LIMPETLEVER_TABLE_SERVICE_ROW_H_

#include <string>

namespace limpetlever {

/** A service of a workload, and the limits that apply to each of its backend servers. */
struct service_row {
  std::string name;
  std::string workload;
  /** Maximum number of requests that one backend server runs at a time, summed over all hosts. */
  int slots = 1;
  /** Maximum number of open connections to one backend server, summed over all hosts. */
  int connections = 1;
  /**
   * Time that a new connection costs the backend server, in milliseconds; at most one connection is
   * opened per this time.
   */
  int connection_cost_ms = 1;
  double weight = 1.0;

  bool operator==(const service_row&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_SERVICE_ROW_H_
