#include "table/operator_table.h"

#include <algorithm>

namespace limpetlever {

namespace {

template <typename Row, typename Key>
const Row* FindRow(const std::vector<Row>& rows, const std::string& key, Key key_field) {
  const auto found = std::lower_bound(
      rows.begin(), rows.end(), key, [&key_field](const Row& row, const std::string& searched_key) {
        return row.*key_field < searched_key;
      });
  return found != rows.end() && (*found).*key_field == key ? &*found : nullptr;
}

}  // namespace

const workload_row* FindWorkload(const operator_table& table, const std::string& name) {
  return FindRow(table.workloads, name, &workload_row::name);
}

const service_row* FindService(const operator_table& table, const std::string& name) {
  return FindRow(table.services, name, &service_row::name);
}

const data_centre_row* FindDataCentre(const operator_table& table, const std::string& name) {
  return FindRow(table.data_centres, name, &data_centre_row::name);
}

const backend_server_row* FindBackendServer(const operator_table& table,
                                            const std::string& address) {
  return FindRow(table.backend_servers, address, &backend_server_row::address);
}

bool IsTakenOut(const operator_table& table, const backend_server_row& server) {
  const data_centre_row* data_centre = FindDataCentre(table, server.data_centre);
  return server.taken_out || data_centre == nullptr || data_centre->taken_out;
}

}  // namespace limpetlever
