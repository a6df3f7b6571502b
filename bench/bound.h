#ifndef LIMPETLEVER_BENCH_BOUND_H_
#define LIMPETLEVER_BENCH_BOUND_H_

#include <map>
#include <string>

#include "base/result.h"

namespace limpetlever {

/** Upper or lower bound of a measure, from bounds.json. */
struct bound {
  enum class bound_kind { at_most, at_least };
  bound_kind kind = bound_kind::at_most;
  double value = 0.0;
  std::string unit;
  /** The requirement that sets the bound, for example a section of the design. */
  std::string target;
  /** Whether the baseline must miss the bound; false for bounds that it meets as well. */
  bool baseline_must_fail = true;
};

/** Whether `value` is within the bound, which is inclusive. */
bool MeetsBound(const bound& limit, double value);

/**
 * Parses the text of bounds.json. Returns the bounds by measure name, or a failure that names
 * `source`.
 */
result<std::map<std::string, bound>> ParseBounds(const std::string& text,
                                                 const std::string& source);

}  // namespace limpetlever

#endif  // LIMPETLEVER_BENCH_BOUND_H_
