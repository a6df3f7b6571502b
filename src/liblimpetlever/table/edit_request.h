#ifndef LIMPETLEVER_TABLE_EDIT_REQUEST_H_
#define LIMPETLEVER_TABLE_EDIT_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "table/table_change.h"

namespace limpetlever {

/** An edit as an operator asks for it. All its changes are made in one version, or none. */
struct edit_request {
  /** Unique; an edit sent again with the same id is stored once. */
  std::string id;
  std::string author;
  std::string summary;
  /** Wall-clock time of the edit, in milliseconds since 1970. */
  std::int64_t time_ms = 0;
  /**
   * The version that the operator saw; rows that were edited since then conflict. 0: the newest
   * version at the time of the edit.
   */
  std::int64_t base_version = 0;
  std::vector<table_change> changes;

  bool operator==(const edit_request&) const = default;
};

/** Keys of the rows that the edit concerns, sorted, without repetition. */
std::vector<std::string> EditedRowKeys(const edit_request& edit);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_EDIT_REQUEST_H_
