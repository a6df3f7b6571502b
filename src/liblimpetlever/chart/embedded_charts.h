#ifndef LIMPETLEVER_CHART_EMBEDDED_CHARTS_H_
#define LIMPETLEVER_CHART_EMBEDDED_CHARTS_H_

#include <map>
#include <string>

namespace limpetlever {

/** The text of each file in charts/, embedded at build time, by file name without extension. */
const std::map<std::string, std::string>& EmbeddedCharts();

}  // namespace limpetlever

#endif  // LIMPETLEVER_CHART_EMBEDDED_CHARTS_H_
