#include "query/top_records.h"

#include <algorithm>

namespace limpetlever {

std::string TopRecords(const std::vector<std::string_view>& parts, std::size_t count) {
  std::vector<std::string_view> records;
  for (const std::string_view part : parts) {
    for (std::size_t offset = 0; offset + kRecordBytes <= part.size(); offset += kRecordBytes) {
      records.push_back(part.substr(offset, kRecordBytes));
    }
  }
  const std::size_t kept = std::min(count, records.size());
  // std::string_view compares its characters as unsigned bytes.
  std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept),
                    records.end(), std::greater<>());
  std::string top;
  top.reserve(kept * kRecordBytes);
  for (std::size_t i = 0; i < kept; ++i) {
    top += records[i];
  }
  return top;
}

}  // namespace limpetlever
