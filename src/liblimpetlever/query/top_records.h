#ifndef LIMPETLEVER_QUERY_TOP_RECORDS_H_
#define LIMPETLEVER_QUERY_TOP_RECORDS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlever {

/** Size of one record in a shard's answer. */
inline constexpr std::size_t kRecordBytes = 16;

/**
 * Concatenates the `count` greatest records of all parts in descending order, compared byte by byte
 * as unsigned numbers. Duplicates are kept; an incomplete record at the end of a part is ignored.
 */
std::string TopRecords(const std::vector<std::string_view>& parts, std::size_t count);

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_TOP_RECORDS_H_
