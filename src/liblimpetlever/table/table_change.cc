#include "table/table_change.h"

namespace limpetlever {

namespace {

struct key_reader {
  std::string operator()(const set_row& change) const { return RowKey(change.row); }
  std::string operator()(const remove_row& change) const { return change.key; }
  std::string operator()(const set_taken_out& change) const { return change.key; }
};

}  // namespace

std::string RowKey(const table_change& change) {
  return std::visit(key_reader{}, change);
}

}  // namespace limpetlever
