#ifndef LIMPETLEVER_CONTROL_CALL_KIND_H_
#define LIMPETLEVER_CONTROL_CALL_KIND_H_

#include <cstddef>

namespace limpetlever {

/** Kinds of calls to the key-value service; a host has at most one of each kind in flight. */
enum class call_kind { watch_table, read_table, write_table, read_view, write_view, claim };

inline constexpr std::size_t kCallKindCount = 6;

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_CALL_KIND_H_
