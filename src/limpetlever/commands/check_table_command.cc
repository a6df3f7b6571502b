#include "commands/check_file.h"
#include "commands/command.h"
#include "table/apply_edit.h"
#include "table/table_csv.h"
#include "table/table_json.h"

namespace limpetlever {

namespace {

result<std::string> Check(const std::string& text, const std::string& path) {
  const auto table =
      path.ends_with(".csv") ? ParseTableCsv(text, path) : ParseTableJson(text, path);
  const auto stored = table ? FormatForStore(*table) : result<std::string>(table.error());
  if (!stored) {
    return stored.error();
  }
  return "valid table, version " + std::to_string(table->version) + ", " +
         std::to_string(table->backend_servers.size()) + " backend servers, " +
         std::to_string(stored->size()) + " bytes stored";
}

}  // namespace

exit_code RunCheckTable(const std::vector<std::string>& arguments) {
  return RunCheck("check-table", arguments, Check);
}

}  // namespace limpetlever
