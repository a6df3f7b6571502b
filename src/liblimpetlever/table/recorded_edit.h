#ifndef LIMPETLEVER_TABLE_RECORDED_EDIT_H_
#define LIMPETLEVER_TABLE_RECORDED_EDIT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace limpetlever {

/**
 * One edit in the history of the table. If the answer to an edit was lost, finding its unique `id`
 * in the history shows that it was stored.
 */
struct recorded_edit {
  std::string id;
  std::int64_t version = 0;
  std::string author;
  /** Wall-clock time of the edit, in milliseconds since 1970. */
  std::int64_t time_ms = 0;
  /** Description for operators, for example "data-centre out north". */
  std::string summary;
  /** Keys of the changed rows, for example "backend_server/10.0.0.1:80". */
  std::vector<std::string> rows;

  bool operator==(const recorded_edit&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_RECORDED_EDIT_H_
