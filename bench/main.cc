#include <benchmark/benchmark.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>

#include "bound.h"
#include "commands/read_file.h"
#include "html_report.h"
#include "registry.h"

namespace {

using namespace limpetlever;
namespace po = boost::program_options;

/** Prints one line of the text report and returns the row of the HTML report. */
report_row PrintMeasure(const std::string& case_name,
                        const measure& item,
                        const std::map<std::string, bound>& bounds) {
  const auto found = bounds.find(item.name);
  if (found == bounds.end()) {
    std::printf("%-44s %14s %14.4g  no bound in bounds.json  FAIL\n", item.name.c_str(), "",
                item.result);
    return {.case_name = case_name, .measurement = item, .limit = std::nullopt, .passes = false};
  }
  const bound& limit = found->second;
  const bool meets_bound = MeetsBound(limit, item.result);
  const bool baseline_check_passes = !limit.baseline_must_fail || !MeetsBound(limit, item.baseline);
  std::printf("%-44s %14.4g %14.4g %8s %10.4g %-10s %s%s\n", item.name.c_str(), item.baseline,
              item.result, limit.kind == bound::bound_kind::at_most ? "<=" : ">=", limit.value,
              limit.unit.c_str(), meets_bound && baseline_check_passes ? "PASS" : "FAIL",
              baseline_check_passes ? "" : " (the baseline meets the bound as well)");
  return {.case_name = case_name,
          .measurement = item,
          .limit = limit,
          .passes = meets_bound && baseline_check_passes};
}

}  // namespace

int main(int argc, char** argv) {
  po::options_description options("limpetlever-bench: seeded benchmarks in simulated time");
  options.add_options()("help", "print this text")("seed", po::value<unsigned>()->default_value(1),
                                                   "seed of the simulated runs")(
      "only", po::value<std::string>()->default_value(""),
      "run only the cases whose name contains this text")(
      "report", po::value<std::string>()->default_value(""),
      "also write the measures as one HTML page to this file")(
      "commit", po::value<std::string>()->default_value(""), "commit to show in the report")(
      "micro", "run the Google Benchmark micro-benchmarks instead");
  po::variables_map values;
  po::store(po::command_line_parser(argc, argv).options(options).allow_unregistered().run(),
            values);
  po::notify(values);
  if (values.count("help") > 0) {
    std::cout << options;
    return 0;
  }
  if (values.count("micro") > 0) {
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
  }
  const std::string path = SOURCE_DIR "/bench/bounds.json";
  const auto text = ReadFile(path);
  const auto bounds =
      text ? ParseBounds(*text, path) : result<std::map<std::string, bound>>(text.error());
  if (!bounds) {
    std::cerr << bounds.error().message << "\n";
    return 2;
  }
  std::printf("seed %u\n%-44s %14s %14s %8s %10s\n", values["seed"].as<unsigned>(), "measure",
              "baseline", "result", "", "bound");
  bool all_pass = true;
  std::vector<report_row> rows;
  for (const bench_case& item : BenchCases()) {
    if (item.name.find(values["only"].as<std::string>()) == std::string::npos) {
      continue;
    }
    for (const measure& measurement : item.run(values["seed"].as<unsigned>())) {
      rows.push_back(PrintMeasure(item.name, measurement, *bounds));
      all_pass = rows.back().passes && all_pass;
    }
  }
  if (const std::string report = values["report"].as<std::string>(); !report.empty()) {
    std::ofstream file(report);
    file << FormatHtmlReport(
        {.seed = values["seed"].as<unsigned>(), .commit = values["commit"].as<std::string>()},
        rows);
    if (!file.flush()) {
      std::cerr << "cannot write the report to " << report << "\n";
      return 2;
    }
  }
  std::printf("%s\n", all_pass ? "all measures pass" : "at least one measure does NOT pass");
  return all_pass ? 0 : 1;
}
