#ifndef LIMPETLEVER_BENCH_HTML_REPORT_H_
#define LIMPETLEVER_BENCH_HTML_REPORT_H_

#include <string>
#include <vector>

#include "report_row.h"

namespace limpetlever {

/** The run that a report shows: its seed and the commit that was built. */
struct report_heading {
  unsigned seed = 0;
  /** Shown as "unknown" if empty. */
  std::string commit;
};

/**
 * Formats one self-contained HTML page: for each bench case a plot, as inline SVG, and a table of
 * its measures with baseline, result and bound. The rows of a case must be adjacent.
 */
std::string FormatHtmlReport(const report_heading& heading, const std::vector<report_row>& rows);

}  // namespace limpetlever

#endif  // LIMPETLEVER_BENCH_HTML_REPORT_H_
