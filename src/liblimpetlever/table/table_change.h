#ifndef LIMPETLEVER_TABLE_TABLE_CHANGE_H_
#define LIMPETLEVER_TABLE_TABLE_CHANGE_H_

#include <string>
#include <variant>

#include "table/table_row.h"

namespace limpetlever {

/** Adds the row, or replaces the row with the same key. */
struct set_row {
  table_row row;

  bool operator==(const set_row&) const = default;
};

/** Removes the row with this key. */
struct remove_row {
  std::string key;

  bool operator==(const remove_row&) const = default;
};

/** Takes a data centre, host or backend server out of service or back in. */
struct set_taken_out {
  /** "data_centre/NAME", "host/NAME" or "backend_server/ADDRESS". */
  std::string key;
  bool taken_out = true;

  bool operator==(const set_taken_out&) const = default;
};

/** One change to one row of the table. */
using table_change = std::variant<set_row, remove_row, set_taken_out>;

/** Returns the key of the row that is changed. */
std::string RowKey(const table_change& change);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_TABLE_CHANGE_H_
