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

/**
 * Maximum number of edits in the history that is stored with the table. The outcome of an edit
 * whose answer was lost can be looked up as long as the edit is in the history.
 */
inline constexpr std::size_t kMaxHistoryEdits = 50;

/** Largest value that the key-value service stores, in bytes. */
inline constexpr std::size_t kMaxStoredTableBytes = 1'048'576;

/**
 * Returns a copy of the table with all changes of the edit made, the version increased by one and
 * the edit added to the history. Fails with invalid_input and a message that names the row if a row
 * to be removed or taken out does not exist or the new table is not valid.
 */
result<operator_table> ApplyEdit(const operator_table& table, const edit_request& edit);

/** Finds the edit with this id in the history of the table; nullptr if it is not there. */
const recorded_edit* FindEdit(const operator_table& table, const std::string& id);

/**
 * Returns the keys of the rows of the edit that other edits changed after version `base`. When the
 * history does not reach back to `base`, every row of the edit is returned, because each may have
 * changed.
 */
std::vector<std::string> ConflictingRowKeys(const operator_table& table,
                                            const edit_request& edit,
                                            std::int64_t base);

/**
 * Formats the table as JSON for the key-value service; fails with too_large and a message that
 * gives both sizes if the service cannot store it.
 */
result<std::string> FormatForStore(const operator_table& table);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_APPLY_EDIT_H_
