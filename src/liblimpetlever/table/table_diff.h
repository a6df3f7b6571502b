#ifndef LIMPETLEVER_TABLE_TABLE_DIFF_H_
#define LIMPETLEVER_TABLE_TABLE_DIFF_H_

#include <string>
#include <vector>

#include "table/operator_table.h"
#include "table/table_change.h"

namespace limpetlever {

/** Returns the changes that turn the rows of `before` into those of `after`, sorted by row key. */
std::vector<table_change> DiffTables(const operator_table& before, const operator_table& after);

/**
 * Returns the sorted keys of the rows that differ between the tables. Differences of version and
 * history do not count.
 */
std::vector<std::string> ChangedRowKeys(const operator_table& before, const operator_table& after);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_TABLE_DIFF_H_
