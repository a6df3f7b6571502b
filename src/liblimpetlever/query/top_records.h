#ifndef LIMPETLEVER_QUERY_TOP_RECORDS_H_
#define LIMPETLEVER_QUERY_TOP_RECORDS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlever {

/** Bytes of one record in an answer of a shard. */
inline constexpr std::size_t kRecordBytes = 16;

/**
 * The greatest `count` records of all parts, greatest first, compared byte by byte as unsigned
 * numbers. Equal records all count; bytes after the last whole record of a part do not.
 */
std::string TopRecords(const std::vector<std::string_view>& parts, std::size_t count);

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_TOP_RECORDS_H_
