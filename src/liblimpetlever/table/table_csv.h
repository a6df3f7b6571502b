#ifndef LIMPETLEVER_TABLE_TABLE_CSV_H_
#define LIMPETLEVER_TABLE_TABLE_CSV_H_

#include <string>

#include "base/result.h"
#include "table/operator_table.h"

namespace limpetlever {

/**
 * Parses the table from one CSV text (RFC 4180) whose column "row" gives the kind of each row.
 * Columns may be in any order; cells that do not apply to a row stay empty. Accepts what
 * spreadsheet programs write: a byte order mark, LF or CRLF, TRUE and FALSE, empty lines. Rejects
 * the whole text on the first error; the message names `source`, the line and the column. A CSV
 * text has no history.
 */
result<operator_table> ParseTableCsv(const std::string& text, const std::string& source);

/** Formats all rows and the version as CSV; the history is left out. */
std::string FormatTableCsv(const operator_table& table);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_TABLE_CSV_H_
