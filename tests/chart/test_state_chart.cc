#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>

#include "chart/chart_state.h"
#include "chart/embedded_charts.h"
#include "chart/state_chart.h"

using namespace limpetlever;

namespace {

std::string ParseErrorMessage(const std::string& states, const std::string& transitions) {
  const auto chart = state_chart::Parse(R"({"name":"t","initial":"a","states":)" + states +
                                            R"(,"events":["e"],"transitions":)" + transitions + "}",
                                        "text");
  return chart ? "" : chart.error().message;
}

bool Contains(const std::string& message, const std::string& part) {
  return message.find(part) != std::string::npos;
}

}  // namespace

// Guards against errors in a chart file that are found only when an object remains in a state.
Test(state_chart, errors_are_refused_and_named) {
  const std::string two_states = R"(["a","b"])";
  const std::string transition = R"({"from":"a","event":"e","to":"b"})";
  cr_assert(ParseErrorMessage(two_states, "[" + transition + "]").empty());
  cr_assert(
      Contains(ParseErrorMessage(R"(["a","b","c"])", "[" + transition + "]"), "cannot be reached"));
  cr_assert(Contains(ParseErrorMessage(R"(["a","b","b"])", "[" + transition + "]"), "twice"));
  cr_assert(
      Contains(ParseErrorMessage(R"(["b"])", "[" + transition + "]"), "initial is not a state"));
  cr_assert(Contains(ParseErrorMessage(two_states, R"([{"from":"a","event":"e","to":"x"}])"),
                     "not a state"));
  cr_assert(Contains(ParseErrorMessage(two_states, R"([{"from":"a","event":"x","to":"b"}])"),
                     "not an event"));
  cr_assert(Contains(
      ParseErrorMessage(two_states, "[" + transition + R"(,{"from":"a","event":"e","to":"a"}])"),
      "second transition"));
  cr_assert(Contains(ParseErrorMessage(R"(["a"])", "[]"), "no transition uses"));
}

// Guards against an invalid chart file, which would abort the host when it first uses the charts.
Test(state_chart, every_embedded_chart_is_valid_and_named_for_its_file) {
  for (const std::string name : {"backend_server", "connection", "host", "data_centre"}) {
    cr_assert(EmbeddedCharts().contains(name), "%s", name.c_str());
  }
  for (const auto& [name, text] : EmbeddedCharts()) {
    const auto chart = state_chart::Parse(text, name);
    cr_assert(chart, "%s", chart ? "" : chart.error().message.c_str());
    cr_assert(chart->name() == name);
  }
}

// Guards against a state change on an event for which the current state has no transition.
Test(chart_state, fire_returns_whether_the_state_changed) {
  chart_state host(EmbeddedChart("host"));
  cr_assert(!host.Fire("drained") && host.IsIn("starting"));
  cr_assert(host.Fire("ready") && host.IsIn("serving"));
  cr_assert(!host.Fire("no_such_event"));
}

// Guards against calls of Fire and IsIn with a name that the chart does not have; they always
// return false. A source file and its header together name exactly one chart.
Test(chart_state, names_in_code_are_in_the_chart_files) {
  namespace fs = std::filesystem;
  std::map<std::string, std::string> sources_by_stem;
  for (const auto& item : fs::recursive_directory_iterator(SOURCE_DIR "/src")) {
    const fs::path& path = item.path();
    if ((path.extension() == ".cc" || path.extension() == ".h") &&
        path.string().find("/chart/") == std::string::npos) {
      std::ostringstream text;
      text << std::ifstream(path).rdbuf();
      sources_by_stem[fs::path(path).replace_extension().string()] += text.str();
    }
  }
  const std::regex use_pattern(R"re(\b(Fire|IsIn)\(\s*("([^"]*)")?)re");
  const std::regex chart_pattern(R"re(\bEmbeddedChart\("([^"]*)"\))re");
  int count = 0;
  for (const auto& [file, text] : sources_by_stem) {
    for (std::sregex_iterator use(text.begin(), text.end(), use_pattern), end; use != end; ++use) {
      cr_assert((*use)[2].matched, "%s: %s without a literal", file.c_str(), use->str().c_str());
      std::smatch chart;
      cr_assert(std::regex_search(text, chart, chart_pattern), "%s names no chart", file.c_str());
      cr_assert(EmbeddedCharts().contains(chart[1]), "%s: %s", file.c_str(),
                chart[1].str().c_str());
      const state_chart& named_chart = EmbeddedChart(chart[1]);
      const std::string name = (*use)[3];
      cr_assert((*use)[1] == "Fire" ? named_chart.HasEvent(name) : named_chart.HasState(name),
                "%s: \"%s\" is not in chart %s", file.c_str(), name.c_str(),
                named_chart.name().c_str());
      ++count;
    }
  }
  cr_assert(count > 0);
}
