#include "table/table_csv.h"

#include <Poco/JSON/Object.h>
#include <Poco/String.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <set>
#include <utility>
#include <vector>

#include "base/errc.h"
#include "base/json_reader.h"
#include "table/csv_text.h"
#include "table/row_json.h"
#include "table/table_json.h"

namespace limpetlever {

namespace {

enum class cell_type { text, whole_number, number, boolean };

struct csv_column {
  const char* name;
  cell_type type;
};

constexpr csv_column kColumns[] = {
    {"row", cell_type::text},
    {"name", cell_type::text},
    {"address", cell_type::text},
    {"kind", cell_type::text},
    {"workload", cell_type::text},
    {"service", cell_type::text},
    {"region", cell_type::text},
    {"data_centre", cell_type::text},
    {"weight", cell_type::number},
    {"out", cell_type::boolean},
    {"slots", cell_type::whole_number},
    {"connections", cell_type::whole_number},
    {"connection_cost_ms", cell_type::whole_number},
    {"default_deadline_ms", cell_type::whole_number},
    {"version", cell_type::whole_number},
};

const csv_column* FindColumn(const std::string& name) {
  const auto* found =
      std::find_if(std::begin(kColumns), std::end(kColumns),
                   [&name](const csv_column& column) { return name == column.name; });
  return found == std::end(kColumns) ? nullptr : found;
}

template <typename Number>
bool SetNumber(Poco::JSON::Object& object, const std::string& key, const std::string& cell) {
  Number value{};
  const auto [stop, error] = std::from_chars(cell.data(), cell.data() + cell.size(), value);
  if (error != std::errc() || stop != cell.data() + cell.size()) {
    return false;
  }
  object.set(key, value);
  return true;
}

/**
 * Sets the field with the type of the column. A cell that does not parse as that type is set as
 * text, so that the reader of the row reports it.
 */
void SetField(Poco::JSON::Object& object, const csv_column& column, const std::string& cell) {
  if (column.type == cell_type::whole_number &&
      SetNumber<std::int64_t>(object, column.name, cell)) {
    return;
  }
  if (column.type == cell_type::number && SetNumber<double>(object, column.name, cell)) {
    return;
  }
  const std::string lower = Poco::toLower(cell);
  if (column.type == cell_type::boolean && (lower == "true" || lower == "false")) {
    object.set(column.name, lower == "true");
    return;
  }
  object.set(column.name, cell);
}

void AddRow(operator_table& table, table_row row) {
  std::visit(
      [&table]<typename Row>(Row&& value) {
        using row_type = std::decay_t<Row>;
        if constexpr (std::is_same_v<row_type, workload_row>) {
          table.workloads.push_back(std::forward<Row>(value));
        } else if constexpr (std::is_same_v<row_type, service_row>) {
          table.services.push_back(std::forward<Row>(value));
        } else if constexpr (std::is_same_v<row_type, data_centre_row>) {
          table.data_centres.push_back(std::forward<Row>(value));
        } else {
          table.backend_servers.push_back(std::forward<Row>(value));
        }
      },
      std::move(row));
}

failure ColumnError(const std::string& source, const std::string& name, const char* message) {
  return {errc::invalid_input, source + ": column \"" + name + "\" " + message};
}

failure LineError(const std::string& source, const std::string& place, const char* message) {
  return {errc::invalid_input, source + ": " + place + ": " + message};
}

result<std::vector<const csv_column*>> ReadHeader(const csv_record& record,
                                                  const std::string& source) {
  std::vector<const csv_column*> columns;
  std::set<std::string> seen;
  for (const std::string& name : record.cells) {
    const csv_column* column = FindColumn(name);
    // Spreadsheet programs may write empty columns after the last used one.
    if (column == nullptr && !name.empty()) {
      return ColumnError(source, name, "is not known");
    }
    if (column != nullptr && !seen.insert(name).second) {
      return ColumnError(source, name, "appears twice");
    }
    columns.push_back(column);
  }
  if (!seen.contains("row")) {
    return failure{errc::invalid_input, source + ": the first line has no column \"row\""};
  }
  return columns;
}

std::string FormatCell(const Poco::JSON::Object& fields, const csv_column& column) {
  if (!fields.has(column.name)) {
    return {};
  }
  const Poco::Dynamic::Var value = fields.get(column.name);
  if (column.type != cell_type::number) {
    return value.convert<std::string>();
  }
  // Formats the shortest text that parses to the same number.
  char text[32];
  const auto end = std::to_chars(std::begin(text), std::end(text), value.convert<double>()).ptr;
  return {text, end};
}

void AppendRow(std::string& text, const std::string& kind, Poco::JSON::Object& fields) {
  std::vector<std::string> cells;
  fields.set("row", kind);
  for (const csv_column& column : kColumns) {
    cells.push_back(FormatCell(fields, column));
  }
  text += FormatCsvRecord(cells);
}

template <typename Row>
void AppendRows(std::string& text, const std::string& kind, const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    Poco::JSON::Object fields;
    WriteRow(row, fields);
    AppendRow(text, kind, fields);
  }
}

}  // namespace

result<operator_table> ParseTableCsv(const std::string& text, const std::string& source) {
  const auto records = ParseCsv(text, source);
  if (!records) {
    return records.error();
  }
  if (records->empty()) {
    return failure{errc::invalid_input, source + ": the file is empty"};
  }
  const auto columns = ReadHeader(records->front(), source);
  if (!columns) {
    return columns.error();
  }
  std::vector<std::string> kinds = RowKinds();
  kinds.insert(kinds.end(), {"host_out", "table"});
  operator_table table;
  for (std::size_t i = 1; i < records->size(); ++i) {
    const csv_record& record = records.value()[i];
    const std::string place = "line " + std::to_string(record.line);
    if (std::all_of(record.cells.begin(), record.cells.end(),
                    [](const std::string& cell) { return cell.empty(); })) {
      continue;
    }
    if (record.cells.size() > columns->size()) {
      return LineError(source, place, "more cells than columns");
    }
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    for (std::size_t c = 0; c < record.cells.size(); ++c) {
      const csv_column* column = columns.value()[c];
      if (record.cells[c].empty()) {
        continue;
      }
      if (column == nullptr) {
        return LineError(source, place, "a cell in a column without a name");
      }
      SetField(*object, *column, record.cells[c]);
    }
    json_reader in(object, place);
    const std::string kind = in.StringOneOf("row", kinds);
    if (kind == "table") {
      table.version = in.Integer("version", 0, std::numeric_limits<std::int64_t>::max());
    } else if (kind == "host_out") {
      table.taken_out_hosts.push_back(in.String("name"));
    } else {
      AddRow(table, ReadRow(in, kind));
    }
    if (const auto row_error = in.Finish()) {
      return failure{row_error->code, source + ": " + row_error->message};
    }
  }
  return ValidateTable(std::move(table), source);
}

std::string FormatTableCsv(const operator_table& table) {
  std::vector<std::string> header;
  for (const csv_column& column : kColumns) {
    header.emplace_back(column.name);
  }
  std::string text = FormatCsvRecord(header);
  Poco::JSON::Object version;
  version.set("version", table.version);
  AppendRow(text, "table", version);
  AppendRows(text, "workload", table.workloads);
  AppendRows(text, "service", table.services);
  AppendRows(text, "data_centre", table.data_centres);
  AppendRows(text, "backend_server", table.backend_servers);
  for (const std::string& host : table.taken_out_hosts) {
    Poco::JSON::Object fields;
    fields.set("name", host);
    AppendRow(text, "host_out", fields);
  }
  return text;
}

}  // namespace limpetlever
