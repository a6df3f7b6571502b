#ifndef LIMPETLEVER_TABLE_EDIT_REQUEST_H_
#define LIMPETLEVER_TABLE_EDIT_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "table/table_change.h"

namespace limpetlever {

/** An edit requested by an operator. All its changes are made in one version, or none is made. */
struct edit_request {
  /** Unique id; an edit that is sent again with the same id is stored only once. */
  std::string id;
  std::string author;
  std::string summary;
  /** Wall-clock time of the edit, in milliseconds since 1970. */
  std::int64_t time_ms = 0;
  /**
   * The version that the operator edited; the edit conflicts if one of its rows was changed after
   * this version. 0: the newest version when the edit is applied.
   */
  std::int64_t base_version = 0;
  std::vector<table_change> changes;

  bool operator==(const edit_request&) const = default;
};

/** Returns the keys of the rows that the edit changes, sorted and without duplicates. */
std::vector<std::string> EditedRowKeys(const edit_request& edit);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_EDIT_REQUEST_H_
