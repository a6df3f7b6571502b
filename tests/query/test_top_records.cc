#include <criterion/criterion.h>

#include "query/top_records.h"

using namespace limpetlever;

namespace {

std::string Record(unsigned char first) {
  return std::string(1, static_cast<char>(first)) + std::string(kRecordBytes - 1, '0');
}

}  // namespace

// Guards against comparing bytes as signed numbers, and against removing duplicate records.
Test(top_records, greatest_first_as_unsigned_bytes) {
  const std::string a = Record(0x01) + Record(0xff);
  const std::string b = Record(0x80) + Record(0xff);
  cr_assert(TopRecords({a, b}, 3) == Record(0xff) + Record(0xff) + Record(0x80));
}

// Guards against returning an incomplete record, and against reading past the end when there are
// fewer records than requested.
Test(top_records, an_incomplete_record_is_ignored) {
  const std::string a = Record(0x05) + "remainder";
  cr_assert(TopRecords({a}, 4) == Record(0x05));
  cr_assert(TopRecords({}, 4).empty());
}
