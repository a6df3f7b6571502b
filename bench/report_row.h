#ifndef LIMPETLEVER_BENCH_REPORT_ROW_H_
#define LIMPETLEVER_BENCH_REPORT_ROW_H_

#include <optional>
#include <string>

#include "bound.h"
#include "measure.h"

namespace limpetlever {

/** A row of the report: one measure of a run and its bound. */
struct report_row {
  /** Name of the bench case. */
  std::string case_name;
  measure measurement;
  /** nullopt if bounds.json has no bound for the measure; such a row does not pass. */
  std::optional<bound> limit;
  /** The result is within the bound and the baseline is not, if the bound requires that. */
  bool passes = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_BENCH_REPORT_ROW_H_
