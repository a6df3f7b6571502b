#ifndef LIMPETLEVER_TABLE_TABLE_DIFF_H_
#define LIMPETLEVER_TABLE_TABLE_DIFF_H_

#include <string>
#include <vector>

#include "table/operator_table.h"
#include "table/table_change.h"

namespace limpetlever {

/** The changes that turn the rows of `before` into those of `after`, ordered by row key. */
std::vector<table_change> DiffTables(const operator_table& before, const operator_table& after);

/** Keys of the rows that differ between the tables, sorted. Version and history are not rows. */
std::vector<std::string> ChangedRowKeys(const operator_table& before, const operator_table& after);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_TABLE_DIFF_H_
