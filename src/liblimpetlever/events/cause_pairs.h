#ifndef LIMPETLEVER_EVENTS_CAUSE_PAIRS_H_
#define LIMPETLEVER_EVENTS_CAUSE_PAIRS_H_

#include <cstddef>
#include <vector>

#include "events/event.h"

namespace limpetlever {

/** Indexes of two events in a list, of which `cause` certainly happened before `effect`. */
struct cause_pair {
  std::size_t cause = 0;
  std::size_t effect = 0;

  bool operator==(const cause_pair&) const = default;
};

/**
 * Finds pairs of events of the same attempt: an attempt is sent before its owner starts or refuses
 * it, and it is started or refused before it is answered. The edit of a table and its adoption are
 * not a pair: a host may adopt the table from the key-value service before the editing host has
 * recorded the edit.
 */
std::vector<cause_pair> FindCausePairs(const std::vector<event>& events);

/** The value of the first field with this name, or "" if there is none. */
std::string FieldValue(const event& entry, const std::string& name);

}  // namespace limpetlever

#endif  // LIMPETLEVER_EVENTS_CAUSE_PAIRS_H_
