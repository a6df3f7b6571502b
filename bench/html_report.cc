#include "html_report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace limpetlever {

namespace {

constexpr double kPlotWidth = 1300;
constexpr double kLabelWidth = 330;
constexpr double kValueWidth = 210;
constexpr double kRowHeight = 30;
constexpr double kAxisHeight = 44;
// Powers of ten on each side of the bound: the axis shows ratios to the bound from 1/1000 to 1000.
// Values outside that range are drawn at the edge.
constexpr double kDecades = 3;

constexpr const char* kStyle = R"(
body { font: 15px/1.45 sans-serif; color: #222; background: #fff; max-width: 1340px; margin: 24px auto; padding: 0 20px; }
h1 { font-size: 26px; margin: 0 0 4px; } h2 { font-size: 18px; margin: 34px 0 6px; }
p { margin: 4px 0 10px; } table { border-collapse: collapse; width: 100%; margin-top: 8px; table-layout: fixed; }
th, td { padding: 4px 10px; border-bottom: 1px solid #ddd; text-align: left; vertical-align: top; }
th { background: #f3f4f6; } td.number, th.number { text-align: right; white-space: nowrap; }
td.name { font-family: monospace; white-space: nowrap; } td.target { color: #555; font-size: 13px; }
.pass { color: #14682f; font-weight: bold; } .fail { color: #b01818; font-weight: bold; }
svg { display: block; max-width: 100%; height: auto; } svg text { font: 13px sans-serif; fill: #222; }
svg text.axis { fill: #666; font-size: 12px; }
)";

std::string EscapeHtml(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

/** Four significant digits; a whole number with thousands separators from 1,000 on. */
std::string FormatNumber(double value) {
  char text[64];
  if (std::abs(value) < 1000 || std::abs(value) >= 1e12) {
    std::snprintf(text, sizeof(text), "%.4g", value);
    return text;
  }
  std::snprintf(text, sizeof(text), "%.0f", value);
  std::string digits = text;
  const std::size_t first = value < 0 ? 1 : 0;
  for (std::size_t i = digits.size(); i > first + 3; i -= 3) {
    digits.insert(i - 3, ",");
  }
  return digits;
}

std::string FormatBound(const bound& limit) {
  return (limit.kind == bound::bound_kind::at_most ? "≤ " : "≥ ") + FormatNumber(limit.value) +
         (limit.unit.empty() ? "" : " " + limit.unit);
}

/**
 * X coordinate of `value` on the axis. There is no ratio to a bound of 0: values up to 0 are drawn
 * at the left edge and others at the right edge.
 */
double AxisPosition(double value, double bound_value) {
  double decades = -kDecades;
  if (bound_value > 0 && value > 0) {
    decades = std::clamp(std::log10(value / bound_value), -kDecades, kDecades);
  } else if (value > bound_value) {
    decades = kDecades;
  }
  const double width = kPlotWidth - kLabelWidth - kValueWidth;
  return kLabelWidth + (decades + kDecades) / (2 * kDecades) * width;
}

/** Draws one line per row: the result as a dot, the baseline as a ring, the bound at ratio 1. */
void WritePlot(std::ostream& out, const std::vector<report_row>& rows) {
  const double height = kRowHeight * static_cast<double>(rows.size()) + kAxisHeight;
  const double bottom = height - kAxisHeight;
  out << "<svg role=\"img\" viewBox=\"0 0 " << kPlotWidth << " " << height << "\" width=\""
      << kPlotWidth << "\" height=\"" << height << "\">\n";
  for (int decade = -3; decade <= 3; ++decade) {
    const double x = AxisPosition(std::pow(10.0, decade), 1.0);
    out << "<line x1=\"" << x << "\" x2=\"" << x << "\" y1=\"0\" y2=\"" << bottom << "\" stroke=\""
        << (decade == 0 ? "#222\" stroke-width=\"2" : "#ddd") << "\"/>\n<text class=\"axis\" x=\""
        << x << "\" y=\"" << bottom + 16 << "\" text-anchor=\"middle\">"
        << (decade == 0 ? "bound" : FormatNumber(std::pow(10.0, decade)) + " ×") << "</text>\n";
  }
  out << "<text class=\"axis\" x=\"" << kLabelWidth << "\" y=\"" << bottom + 36
      << "\">ratio to the bound, logarithmic; ● result, ○ baseline; shaded: within the "
         "bound</text>\n";
  double y = kRowHeight / 2;
  for (const report_row& row : rows) {
    out << "<text x=\"0\" y=\"" << y + 4 << "\">" << EscapeHtml(row.measurement.name)
        << "</text>\n";
    if (row.limit) {
      const double bound_x = AxisPosition(1, 1);
      const bool at_most = row.limit->kind == bound::bound_kind::at_most;
      const double left = at_most ? kLabelWidth : bound_x;
      const double right = at_most ? bound_x : kPlotWidth - kValueWidth;
      out << "<rect x=\"" << left << "\" y=\"" << y - 9 << "\" width=\"" << right - left
          << "\" height=\"18\" fill=\"#e3f3e7\"/>\n";
      const double result = AxisPosition(row.measurement.result, row.limit->value);
      const double baseline = AxisPosition(row.measurement.baseline, row.limit->value);
      out << "<line x1=\"" << baseline << "\" x2=\"" << result << "\" y1=\"" << y << "\" y2=\"" << y
          << "\" stroke=\"#999\"/>\n<circle cx=\"" << baseline << "\" cy=\"" << y
          << "\" r=\"6\" fill=\"#fff\" stroke=\"#666\" stroke-width=\"2\"/>\n<circle cx=\""
          << result << "\" cy=\"" << y << "\" r=\"5\" fill=\""
          << (row.passes ? "#14682f" : "#b01818") << "\"/>\n";
    }
    out << "<text x=\"" << kPlotWidth << "\" y=\"" << y + 4 << "\" text-anchor=\"end\">"
        << FormatNumber(row.measurement.result) << "  "
        << (row.limit ? "(" + EscapeHtml(FormatBound(*row.limit)) + ")" : "no bound")
        << "</text>\n";
    y += kRowHeight;
  }
  out << "</svg>\n";
}

void WriteTable(std::ostream& out, const std::vector<report_row>& rows) {
  out << "<table><colgroup><col width=\"380\"><col width=\"110\"><col width=\"110\"><col "
         "width=\"150\"><col width=\"70\"><col></colgroup><tr><th>measure</th><th "
         "class=\"number\">baseline</th><th class=\"number\">result"
         "</th><th class=\"number\">bound</th><th></th><th>source of the bound</th></tr>\n";
  for (const report_row& row : rows) {
    out << "<tr><td class=\"name\">" << EscapeHtml(row.measurement.name)
        << "</td><td class=\"number\">" << FormatNumber(row.measurement.baseline)
        << "</td><td class=\"number\">" << FormatNumber(row.measurement.result)
        << "</td><td class=\"number\">"
        << (row.limit ? EscapeHtml(FormatBound(*row.limit)) : "none") << "</td><td class=\""
        << (row.passes ? "pass\">PASS" : "fail\">FAIL") << "</td><td class=\"target\">"
        << (row.limit ? EscapeHtml(row.limit->target) : "") << "</td></tr>\n";
  }
  out << "</table>\n";
}

}  // namespace

std::string FormatHtmlReport(const report_heading& heading, const std::vector<report_row>& rows) {
  std::vector<std::vector<report_row>> rows_by_case;
  for (const report_row& row : rows) {
    if (rows_by_case.empty() || rows_by_case.back().front().case_name != row.case_name) {
      rows_by_case.emplace_back();
    }
    rows_by_case.back().push_back(row);
  }
  const auto failed =
      std::count_if(rows.begin(), rows.end(), [](const report_row& row) { return !row.passes; });
  std::ostringstream out;
  out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
         "<title>limpetlever measures</title><style>"
      << kStyle << "</style></head><body>\n<h1>limpetlever measures</h1>\n<p>Seed " << heading.seed
      << ", commit " << EscapeHtml(heading.commit.empty() ? "unknown" : heading.commit) << ". "
      << rows.size() << " measures, " << rows.size() - static_cast<std::size_t>(failed)
      << " pass, <span class=\"" << (failed == 0 ? "pass" : "fail") << "\">" << failed
      << " fail</span>. All values come from runs in simulated time with this seed; the baseline "
         "runs "
         "without the mechanism under test.</p>\n";
  for (const auto& case_rows : rows_by_case) {
    out << "<h2>" << EscapeHtml(case_rows.front().case_name) << "</h2>\n";
    WritePlot(out, case_rows);
    WriteTable(out, case_rows);
  }
  out << "</body></html>\n";
  return out.str();
}

}  // namespace limpetlever
