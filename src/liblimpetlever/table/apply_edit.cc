#include "table/apply_edit.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/errc.h"
#include "table/table_json.h"

namespace limpetlever {

namespace {

template <typename Row>
void AddOrReplace(std::vector<Row>& rows, const Row& row, std::string Row::*key) {
  const auto found =
      std::find_if(rows.begin(), rows.end(), [&](const Row& old) { return old.*key == row.*key; });
  if (found == rows.end()) {
    rows.push_back(row);
  } else {
    *found = row;
  }
}

template <typename Row>
Row* FindRow(std::vector<Row>& rows, const std::string& name, std::string Row::*key) {
  const auto found =
      std::find_if(rows.begin(), rows.end(), [&](const Row& row) { return row.*key == name; });
  return found == rows.end() ? nullptr : &*found;
}

template <typename Row>
bool RemoveRow(std::vector<Row>& rows, const std::string& name, std::string Row::*key) {
  return std::erase_if(rows, [&](const Row& row) { return row.*key == name; }) > 0;
}

std::pair<std::string, std::string> SplitKey(const std::string& key) {
  const std::size_t slash = key.find('/');
  return slash == std::string::npos ? std::pair(std::string(), key)
                                    : std::pair(key.substr(0, slash), key.substr(slash + 1));
}

/** Applies one change to the table; returns false if the row to be changed does not exist. */
struct change_applier {
  operator_table& table;

  bool operator()(const set_row& change) const {
    std::visit(*this, change.row);
    return true;
  }
  bool operator()(const workload_row& row) const {
    AddOrReplace(table.workloads, row, &workload_row::name);
    return true;
  }
  bool operator()(const service_row& row) const {
    AddOrReplace(table.services, row, &service_row::name);
    return true;
  }
  bool operator()(const data_centre_row& row) const {
    AddOrReplace(table.data_centres, row, &data_centre_row::name);
    return true;
  }
  bool operator()(const backend_server_row& row) const {
    AddOrReplace(table.backend_servers, row, &backend_server_row::address);
    return true;
  }
  bool operator()(const remove_row& change) const {
    const auto [kind, name] = SplitKey(change.key);
    if (kind == "workload") {
      return RemoveRow(table.workloads, name, &workload_row::name);
    }
    if (kind == "service") {
      return RemoveRow(table.services, name, &service_row::name);
    }
    if (kind == "data_centre") {
      return RemoveRow(table.data_centres, name, &data_centre_row::name);
    }
    return kind == "backend_server" &&
           RemoveRow(table.backend_servers, name, &backend_server_row::address);
  }
  bool operator()(const set_taken_out& change) const {
    const auto [kind, name] = SplitKey(change.key);
    if (kind == "host") {
      std::erase(table.taken_out_hosts, name);
      if (change.taken_out) {
        table.taken_out_hosts.push_back(name);
      }
      return true;
    }
    if (kind == "data_centre") {
      data_centre_row* row = FindRow(table.data_centres, name, &data_centre_row::name);
      return row != nullptr && (row->taken_out = change.taken_out, true);
    }
    if (kind != "backend_server") {
      return false;
    }
    backend_server_row* row = FindRow(table.backend_servers, name, &backend_server_row::address);
    return row != nullptr && (row->taken_out = change.taken_out, true);
  }
};

}  // namespace

result<operator_table> ApplyEdit(const operator_table& table, const edit_request& edit) {
  if (edit.id.empty()) {
    return failure{errc::invalid_input, "the edit has no id"};
  }
  if (edit.changes.empty()) {
    return failure{errc::invalid_input, "the edit has no changes"};
  }
  operator_table changed = table;
  for (const table_change& change : edit.changes) {
    if (!std::visit(change_applier{changed}, change)) {
      return failure{errc::invalid_input, "the table has no row \"" + RowKey(change) + "\""};
    }
  }
  changed.version = table.version + 1;
  changed.edits.push_back({.id = edit.id,
                           .version = changed.version,
                           .author = edit.author,
                           .time_ms = edit.time_ms,
                           .summary = edit.summary,
                           .rows = EditedRowKeys(edit)});
  if (changed.edits.size() > kMaxHistoryEdits) {
    changed.edits.erase(changed.edits.begin(), changed.edits.end() - kMaxHistoryEdits);
  }
  return ValidateTable(std::move(changed), "edit");
}

const recorded_edit* FindEdit(const operator_table& table, const std::string& id) {
  const auto found = std::find_if(table.edits.begin(), table.edits.end(),
                                  [&id](const recorded_edit& edit) { return edit.id == id; });
  return found == table.edits.end() ? nullptr : &*found;
}

std::vector<std::string> ConflictingRowKeys(const operator_table& table,
                                            const edit_request& edit,
                                            std::int64_t base) {
  std::vector<std::string> rows = EditedRowKeys(edit);
  if (base == table.version) {
    return {};
  }
  std::set<std::string> changed;
  std::int64_t edits_after_base = 0;
  for (const recorded_edit& other : table.edits) {
    if (other.version > base) {
      ++edits_after_base;
      changed.insert(other.rows.begin(), other.rows.end());
    }
  }
  if (base > table.version || edits_after_base < table.version - base) {
    return rows;
  }
  std::erase_if(rows, [&changed](const std::string& row) { return !changed.contains(row); });
  return rows;
}

result<std::string> FormatForStore(const operator_table& table) {
  std::string text = FormatTableJson(table);
  if (text.size() > kMaxStoredTableBytes) {
    return failure{errc::too_large, "the table would take " + std::to_string(text.size()) +
                                        " bytes; the key-value service stores at most " +
                                        std::to_string(kMaxStoredTableBytes) +
                                        "; remove rows that are no longer used"};
  }
  return text;
}

}  // namespace limpetlever
