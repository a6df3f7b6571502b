#include "table/table_diff.h"

#include <map>
#include <set>

namespace limpetlever {

namespace {

std::map<std::string, table_row> RowsByKey(const operator_table& table) {
  std::map<std::string, table_row> rows;
  const auto add = [&rows](const auto& list) {
    for (const auto& row : list) {
      rows.emplace(RowKey(table_row(row)), row);
    }
  };
  add(table.workloads);
  add(table.services);
  add(table.data_centres);
  add(table.backend_servers);
  return rows;
}

}  // namespace

std::vector<table_change> DiffTables(const operator_table& before, const operator_table& after) {
  const auto old_rows = RowsByKey(before);
  const auto new_rows = RowsByKey(after);
  std::map<std::string, table_change> changes;
  for (const auto& [key, row] : new_rows) {
    const auto old = old_rows.find(key);
    if (old == old_rows.end() || old->second != row) {
      changes.emplace(key, set_row{row});
    }
  }
  for (const auto& [key, row] : old_rows) {
    if (!new_rows.contains(key)) {
      changes.emplace(key, remove_row{key});
    }
  }
  const std::set<std::string> old_out(before.taken_out_hosts.begin(), before.taken_out_hosts.end());
  const std::set<std::string> new_out(after.taken_out_hosts.begin(), after.taken_out_hosts.end());
  for (const std::string& host : new_out) {
    if (!old_out.contains(host)) {
      changes.emplace("host/" + host, set_taken_out{"host/" + host, true});
    }
  }
  for (const std::string& host : old_out) {
    if (!new_out.contains(host)) {
      changes.emplace("host/" + host, set_taken_out{"host/" + host, false});
    }
  }
  std::vector<table_change> list;
  for (const auto& [key, change] : changes) {
    list.push_back(change);
  }
  return list;
}

std::vector<std::string> ChangedRowKeys(const operator_table& before, const operator_table& after) {
  std::vector<std::string> keys;
  for (const table_change& change : DiffTables(before, after)) {
    keys.push_back(RowKey(change));
  }
  return keys;
}

}  // namespace limpetlever
