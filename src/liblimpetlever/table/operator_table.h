#ifndef LIMPETLEVER_TABLE_OPERATOR_TABLE_H_
#define LIMPETLEVER_TABLE_OPERATOR_TABLE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "table/backend_server_row.h"
#include "table/data_centre_row.h"
#include "table/recorded_edit.h"
#include "table/service_row.h"
#include "table/workload_row.h"

namespace limpetlever {

/**
 * The operators' table: the weights and limits of workloads, services, data centres and backend
 * servers, and what operators have taken out of service. Rows are sorted by name or address.
 */
struct operator_table {
  /** Increases by one with each accepted edit; 0 means that no table is known. */
  std::int64_t version = 0;
  std::vector<workload_row> workloads;
  std::vector<service_row> services;
  std::vector<data_centre_row> data_centres;
  std::vector<backend_server_row> backend_servers;
  /** Names of hosts that operators have taken out of service. */
  std::vector<std::string> taken_out_hosts;
  /** History: the newest edits, oldest first. */
  std::vector<recorded_edit> edits;

  bool operator==(const operator_table&) const = default;
};

/** Return the row with this name or address, or nullptr if there is none. */
const workload_row* FindWorkload(const operator_table& table, const std::string& name);
const service_row* FindService(const operator_table& table, const std::string& name);
const data_centre_row* FindDataCentre(const operator_table& table, const std::string& name);
const backend_server_row* FindBackendServer(const operator_table& table,
                                            const std::string& address);

/**
 * Whether the backend server or its data centre is taken out of service. Also true if the table has
 * no row for the data centre.
 */
bool IsTakenOut(const operator_table& table, const backend_server_row& server);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_OPERATOR_TABLE_H_
