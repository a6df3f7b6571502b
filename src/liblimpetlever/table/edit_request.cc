#include "table/edit_request.h"

#include <set>

namespace limpetlever {

std::vector<std::string> EditedRowKeys(const edit_request& edit) {
  std::set<std::string> keys;
  for (const table_change& change : edit.changes) {
    keys.insert(RowKey(change));
  }
  return {keys.begin(), keys.end()};
}

}  // namespace limpetlever
