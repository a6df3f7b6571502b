#include "table/csv_text.h"

#include <utility>

#include "base/errc.h"

namespace limpetlever {

result<std::vector<csv_record>> ParseCsv(const std::string& text, const std::string& source) {
  const std::string byte_order_mark = "\xEF\xBB\xBF";
  std::size_t position = text.starts_with(byte_order_mark) ? byte_order_mark.size() : 0;
  std::vector<csv_record> records;
  csv_record record{.line = 1, .cells = {}};
  std::string cell;
  int line = 1;
  const auto error_on_line = [&source](int line_number, const std::string& message) {
    return failure{errc::invalid_input,
                   source + ": line " + std::to_string(line_number) + ": " + message};
  };
  bool has_content = false;  // Whether the record has a cell or part of one.
  while (position < text.size()) {
    const char c = text[position];
    if (c == '"') {
      if (!cell.empty()) {
        return error_on_line(line, "a quote in the middle of a cell; quote the whole cell");
      }
      const int first_line = line;
      has_content = true;
      for (++position;; ++position) {
        if (position >= text.size()) {
          return error_on_line(first_line, "the quoted cell is not closed");
        }
        if (text[position] == '"') {
          if (position + 1 >= text.size() || text[position + 1] != '"') {
            break;
          }
          ++position;
        }
        line += text[position] == '\n' ? 1 : 0;
        cell += text[position];
      }
      ++position;
      if (position < text.size() && text[position] != ',' && text[position] != '\n' &&
          text[position] != '\r') {
        return error_on_line(line, "text after a quoted cell");
      }
    } else if (c == ',') {
      record.cells.push_back(std::exchange(cell, {}));
      has_content = true;
      ++position;
    } else if (c == '\n' || c == '\r') {
      position += c == '\r' && position + 1 < text.size() && text[position + 1] == '\n' ? 2 : 1;
      ++line;
      if (has_content) {
        record.cells.push_back(std::exchange(cell, {}));
        records.push_back(std::move(record));
      }
      record = {.line = line, .cells = {}};
      has_content = false;
    } else {
      cell += c;
      has_content = true;
      ++position;
    }
  }
  if (has_content) {
    record.cells.push_back(std::move(cell));
    records.push_back(std::move(record));
  }
  return records;
}

std::string FormatCsvRecord(const std::vector<std::string>& cells) {
  std::string text;
  for (const std::string& cell : cells) {
    text += &cell == &cells.front() ? "" : ",";
    if (cell.find_first_of(",\"\r\n") == std::string::npos) {
      text += cell;
      continue;
    }
    text += '"';
    for (const char c : cell) {
      text += c == '"' ? "\"\"" : std::string(1, c);
    }
    text += '"';
  }
  return text + "\r\n";
}

}  // namespace limpetlever
