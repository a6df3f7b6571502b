#ifndef LIMPETLEVER_TABLE_TABLE_JSON_H_
#define LIMPETLEVER_TABLE_TABLE_JSON_H_

#include <string>

#include "base/result.h"
#include "table/operator_table.h"

namespace limpetlever {

/**
 * Parses the table from JSON, which may have comments. Rejects the whole text on the first error;
 * the message names `source`, the field and the allowed values.
 */
result<operator_table> ParseTableJson(const std::string& text, const std::string& source);

/** Formats the table and its history as JSON that ParseTableJson reads back to an equal table. */
std::string FormatTableJson(const operator_table& table);

/**
 * Returns the table with its rows sorted. Fails with invalid_input if a name or an address is not
 * allowed, two rows have the same key, or a row refers to a row that does not exist; the message
 * begins with `source`.
 */
result<operator_table> ValidateTable(operator_table table, const std::string& source);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_TABLE_JSON_H_
