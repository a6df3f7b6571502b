#include "table/table_row.h"

namespace limpetlever {

namespace {

struct key_writer {
  std::string operator()(const workload_row& row) const { return "workload/" + row.name; }
  std::string operator()(const service_row& row) const { return "service/" + row.name; }
  std::string operator()(const data_centre_row& row) const { return "data_centre/" + row.name; }
  std::string operator()(const backend_server_row& row) const {
    return "backend_server/" + row.address;
  }
};

}  // namespace

std::string RowKey(const table_row& row) {
  return std::visit(key_writer{}, row);
}

}  // namespace limpetlever
