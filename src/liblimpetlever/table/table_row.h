#ifndef LIMPETLEVER_TABLE_TABLE_ROW_H_
#define LIMPETLEVER_TABLE_TABLE_ROW_H_

#include <string>
#include <variant>

#include "table/backend_server_row.h"
#include "table/data_centre_row.h"
#include "table/service_row.h"
#include "table/workload_row.h"

namespace limpetlever {

/** A row of any kind. */
using table_row = std::variant<workload_row, service_row, data_centre_row, backend_server_row>;

/** Returns the key of a row, "KIND/NAME", for example "backend_server/10.0.0.1:80". */
std::string RowKey(const table_row& row);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_TABLE_ROW_H_
