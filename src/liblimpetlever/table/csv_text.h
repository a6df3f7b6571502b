#ifndef LIMPETLEVER_TABLE_CSV_TEXT_H_
#define LIMPETLEVER_TABLE_CSV_TEXT_H_

#include <string>
#include <vector>

#include "base/result.h"

namespace limpetlever {

/** One record of a CSV text and the number of the line on which it begins, counted from 1. */
struct csv_record {
  int line = 0;
  std::vector<std::string> cells;

  bool operator==(const csv_record&) const = default;
};

/**
 * Splits a CSV text (RFC 4180) into records; empty lines are skipped. Fails with a message that
 * gives `source` and the line if a quote is misplaced or a quoted cell is not closed.
 */
result<std::vector<csv_record>> ParseCsv(const std::string& text, const std::string& source);

/** Formats one record, including the line end (CRLF); quotes the cells that need it. */
std::string FormatCsvRecord(const std::vector<std::string>& cells);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_CSV_TEXT_H_
