#ifndef LIMPETLEVER_TABLE_ROW_JSON_H_
#define LIMPETLEVER_TABLE_ROW_JSON_H_

#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

#include "base/json_reader.h"
#include "table/table_row.h"

namespace limpetlever {

/** Read the fields of one row. An error is recorded in the reader and returned by its Finish(). */
workload_row ReadWorkload(json_reader& in);
service_row ReadService(json_reader& in);
data_centre_row ReadDataCentre(json_reader& in);
backend_server_row ReadBackendServer(json_reader& in);

/** The kinds of rows: "workload", "service", "data_centre" and "backend_server". */
const std::vector<std::string>& RowKinds();

/** Reads the fields of a row of this kind, which must be one of RowKinds(). */
table_row ReadRow(json_reader& in, const std::string& kind);

/** Sets all fields of the row in `out`, without its kind. */
void WriteRow(const table_row& row, Poco::JSON::Object& out);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_ROW_JSON_H_
