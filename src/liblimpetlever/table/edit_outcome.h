#ifndef LIMPETLEVER_TABLE_EDIT_OUTCOME_H_
#define LIMPETLEVER_TABLE_EDIT_OUTCOME_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/verdict.h"

namespace limpetlever {

/** The outcome of an edit. */
struct edit_outcome {
  /**
   * ran: the edit is stored. not_run: the edit was refused and nothing was or will be written
   * (edit_conflict, invalid_input, too_large, store_unavailable). may_have_run: the outcome is
   * unknown (store_outcome_unknown); sending the edit again with the same id resolves it.
   */
  verdict outcome;
  /** Version that contains the edit if it is stored, else the newest version that was read. */
  std::int64_t version = 0;
  /** Keys of rows of the edit that other edits changed; set only with edit_conflict. */
  std::vector<std::string> conflicting_rows;
  /** The newest JSON text of the table that was read or written; empty if there is none. */
  std::string table_text;

  bool operator==(const edit_outcome&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_EDIT_OUTCOME_H_
