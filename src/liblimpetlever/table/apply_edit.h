#ifndef LIMPETLEVER_TABLE_APPLY_EDIT_H_
#define LIMPETLEVER_TABLE_APPLY_EDIT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "table/edit_request.h"
#include "table/operator_table.h"

namespace limpetlever {

/** Edits kept in the table. A lost answer can be resolved while the edit is among them. */
inline constexpr std::size_t kMaxEdits = 50;

/** The key-value service stores values up to this size. */
inline constexpr std::size_t kMaxTableBytes = 1'048'576;

/**
 * The table with all changes of the edit, the next version and the edit in its history. Fails with
 * invalid_input, and the row, if a row to be removed or taken out does not exist or the new table
 * is not valid.
 */
result<operator_table> ApplyEdit(const operator_table& table, const edit_request& edit);

/** The recorded edit with this id; nullptr if it is not among the newest edits. */
const recorded_edit* FindEdit(const operator_table& table, const std::string& id);

/**
 * Rows of the edit that other edits changed after version `base`. When the history does not reach
 * back to `base`, every row of the edit is returned, because each may have changed.
 */
std::vector<std::string> ConflictingRowKeys(const operator_table& table,
                                            const edit_request& edit,
                                            std::int64_t base);

/** The table's text if it fits into the key-value service; fails with too_large and the sizes. */
result<std::string> FormatForStore(const operator_table& table);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_APPLY_EDIT_H_
