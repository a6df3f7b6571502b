#include "table/table_json.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <limits>
#include <sstream>
#include <utility>

#include "base/errc.h"
#include "base/json_reader.h"
#include "base/socket_address.h"
#include "table/row_json.h"

namespace limpetlever {

namespace {

recorded_edit ReadEdit(json_reader& in) {
  constexpr auto kMaxInteger = std::numeric_limits<std::int64_t>::max();
  return {.id = in.String("id"),
          .version = in.Integer("version", 1, kMaxInteger),
          .author = in.StringOr("author", ""),
          .time_ms = in.IntegerOr("time_ms", 0, kMaxInteger, 0),
          .summary = in.StringOr("summary", ""),
          .rows = in.StringsOrEmpty("rows")};
}

template <typename Row>
std::vector<Row> ReadRows(json_reader& in, const std::string& key, Row (*read)(json_reader&)) {
  std::vector<Row> rows;
  for (json_reader& element : in.ObjectsOrEmpty(key)) {
    rows.push_back(read(element));
    in.TakeErrorFrom(element);
  }
  return rows;
}

template <typename Row>
std::optional<failure> SortAndCheckUnique(std::vector<Row>& rows,
                                          std::string Row::*key,
                                          const std::string& what) {
  std::sort(rows.begin(), rows.end(),
            [key](const Row& a, const Row& b) { return a.*key < b.*key; });
  const auto duplicate = std::adjacent_find(
      rows.begin(), rows.end(), [key](const Row& a, const Row& b) { return a.*key == b.*key; });
  if (duplicate != rows.end()) {
    return failure{errc::invalid_input, what + ": two rows for \"" + (*duplicate).*key + "\""};
  }
  return std::nullopt;
}

/**
 * Names are used in URLs, row keys and spreadsheets. A spreadsheet program treats a cell that
 * begins with one of = + - @ as a formula.
 */
bool IsValidName(const std::string& name) {
  constexpr std::size_t kMaxLength = 200;
  return !name.empty() && name.size() <= kMaxLength &&
         std::string("=+-@").find(name.front()) == std::string::npos &&
         std::all_of(name.begin(), name.end(),
                     [](char c) { return c > ' ' && c < 0x7f && c != '/' && c != ','; });
}

failure InvalidHostName(const std::string& source, const std::string& host) {
  return {errc::invalid_input, source + ": hosts_out: \"" + host + "\" is not the name of a host"};
}

template <typename Row>
std::optional<failure> CheckNames(const std::vector<Row>& rows, const std::string& what) {
  for (const Row& row : rows) {
    if (!IsValidName(row.name)) {
      return failure{errc::invalid_input,
                     what + ": found the name \"" + row.name +
                         "\"; allowed: 1 to 200 printable ASCII characters without space, slash "
                         "and comma, the first none of = + - @"};
    }
  }
  return std::nullopt;
}

std::optional<failure> CheckAddresses(const std::vector<backend_server_row>& rows,
                                      const std::string& what) {
  for (const backend_server_row& row : rows) {
    if (!ParseSocketAddress(row.address)) {
      return failure{errc::invalid_input,
                     what + ": found the address \"" + row.address +
                         "\"; allowed: an IPv4 number and a port, as in 127.0.0.1:8080"};
    }
  }
  return std::nullopt;
}

failure UnknownReference(const std::string& source,
                         const std::string& row,
                         const std::string& field,
                         const std::string& value) {
  return failure{errc::invalid_input,
                 source + ": " + row + ": " + field + " \"" + value + "\" has no row"};
}

template <typename Row, typename Write>
Poco::JSON::Array::Ptr WriteRows(const std::vector<Row>& rows, Write write) {
  Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
  for (const Row& row : rows) {
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object(Poco::JSON_PRESERVE_KEY_ORDER);
    write(row, *object);
    array->add(object);
  }
  return array;
}

Poco::JSON::Array::Ptr WriteStrings(const std::vector<std::string>& values) {
  Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
  for (const std::string& value : values) {
    array->add(value);
  }
  return array;
}

}  // namespace

result<operator_table> ValidateTable(operator_table table, const std::string& source) {
  std::optional<failure> error =
      SortAndCheckUnique(table.workloads, &workload_row::name, source + ": workloads");
  if (!error) {
    error = SortAndCheckUnique(table.services, &service_row::name, source + ": services");
  }
  if (!error) {
    error =
        SortAndCheckUnique(table.data_centres, &data_centre_row::name, source + ": data_centres");
  }
  if (!error) {
    error = SortAndCheckUnique(table.backend_servers, &backend_server_row::address,
                               source + ": backend_servers");
  }
  if (!error) {
    error = CheckNames(table.workloads, source + ": workloads");
  }
  if (!error) {
    error = CheckNames(table.services, source + ": services");
  }
  if (!error) {
    error = CheckNames(table.data_centres, source + ": data_centres");
  }
  if (!error) {
    error = CheckAddresses(table.backend_servers, source + ": backend_servers");
  }
  if (error) {
    return *error;
  }
  for (const service_row& row : table.services) {
    if (FindWorkload(table, row.workload) == nullptr) {
      return UnknownReference(source, "service \"" + row.name + "\"", "workload", row.workload);
    }
  }
  for (const backend_server_row& row : table.backend_servers) {
    const std::string name = "backend server \"" + row.address + "\"";
    if (FindService(table, row.service) == nullptr) {
      return UnknownReference(source, name, "service", row.service);
    }
    if (FindDataCentre(table, row.data_centre) == nullptr) {
      return UnknownReference(source, name, "data_centre", row.data_centre);
    }
  }
  std::sort(table.taken_out_hosts.begin(), table.taken_out_hosts.end());
  const auto duplicate =
      std::adjacent_find(table.taken_out_hosts.begin(), table.taken_out_hosts.end());
  if (duplicate != table.taken_out_hosts.end()) {
    return failure{errc::invalid_input, source + ": hosts_out: \"" + *duplicate + "\" twice"};
  }
  for (const std::string& host : table.taken_out_hosts) {
    if (!IsValidName(host)) {
      return InvalidHostName(source, host);
    }
  }
  return table;
}

result<operator_table> ParseTableJson(const std::string& text, const std::string& source) {
  const auto root = json_reader::ParseText(text, source);
  if (!root) {
    return root.error();
  }
  json_reader in(*root, "");
  operator_table table{
      .version = in.IntegerOr("version", 0, std::numeric_limits<std::int64_t>::max(), 0),
      .workloads = ReadRows(in, "workloads", ReadWorkload),
      .services = ReadRows(in, "services", ReadService),
      .data_centres = ReadRows(in, "data_centres", ReadDataCentre),
      .backend_servers = ReadRows(in, "backend_servers", ReadBackendServer),
      .taken_out_hosts = in.StringsOrEmpty("hosts_out"),
      .edits = ReadRows(in, "edits", ReadEdit)};
  if (const auto error = in.Finish()) {
    return failure{error->code, source + ": " + error->message};
  }
  return ValidateTable(std::move(table), source);
}

std::string FormatTableJson(const operator_table& table) {
  Poco::JSON::Object root(Poco::JSON_PRESERVE_KEY_ORDER);
  root.set("version", table.version);
  const auto write_row = [](const auto& row, auto& out) { WriteRow(row, out); };
  root.set("workloads", WriteRows(table.workloads, write_row));
  root.set("services", WriteRows(table.services, write_row));
  root.set("data_centres", WriteRows(table.data_centres, write_row));
  root.set("backend_servers", WriteRows(table.backend_servers, write_row));
  root.set("hosts_out", WriteStrings(table.taken_out_hosts));
  root.set("edits", WriteRows(table.edits, [](const recorded_edit& edit, auto& out) {
             out.set("id", edit.id);
             out.set("version", edit.version);
             out.set("author", edit.author);
             out.set("time_ms", edit.time_ms);
             out.set("summary", edit.summary);
             out.set("rows", WriteStrings(edit.rows));
           }));
  std::ostringstream out;
  root.stringify(out, 1);
  return out.str();
}

}  // namespace limpetlever
