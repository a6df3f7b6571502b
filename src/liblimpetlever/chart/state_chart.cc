#include "chart/state_chart.h"

#include <cstdio>
#include <cstdlib>
#include <vector>

#include "base/errc.h"
#include "base/json_reader.h"
#include "chart/embedded_charts.h"

namespace limpetlever {

namespace {

std::map<std::string, state_chart> ParseEmbeddedCharts() {
  std::map<std::string, state_chart> charts;
  for (const auto& [name, text] : EmbeddedCharts()) {
    const auto chart = state_chart::Parse(text, "charts/" + name + ".json");
    if (!chart) {
      std::fprintf(stderr, "%s\n", chart.error().message.c_str());
      std::abort();
    }
    charts.emplace(name, *chart);
  }
  return charts;
}

}  // namespace

result<state_chart> state_chart::Parse(const std::string& text, const std::string& source) {
  const auto root = json_reader::ParseText(text, source);
  if (!root) {
    return root.error();
  }
  json_reader in(*root, "");
  state_chart chart;
  chart.name_ = in.String("name");
  chart.initial_ = in.String("initial");
  for (const auto& [key, names] :
       {std::pair{"states", &chart.states_}, std::pair{"events", &chart.events_}}) {
    for (const std::string& item : in.StringsOrEmpty(key)) {
      if (!names->insert(item).second) {
        in.Fail(key, "lists \"" + item + "\" twice");
      }
    }
  }
  if (!chart.HasState(chart.initial_)) {
    in.Fail("initial", "is not a state: \"" + chart.initial_ + "\"");
  }
  name_set used_events;
  for (json_reader& item : in.ObjectsOrEmpty("transitions")) {
    const std::string from = item.String("from");
    const std::string event = item.String("event");
    const std::string to = item.String("to");
    for (const auto& [key, state] : {std::pair{"from", &from}, std::pair{"to", &to}}) {
      if (!chart.HasState(*state)) {
        item.Fail(key, "is not a state: \"" + *state + "\"");
      }
    }
    if (!chart.HasEvent(event)) {
      item.Fail("event", "is not an event: \"" + event + "\"");
    }
    if (!chart.transitions_[from].emplace(event, to).second) {
      item.Fail("event", "has a second transition from state \"" + from + "\"");
    }
    used_events.insert(event);
    in.TakeErrorFrom(item);
  }
  for (const std::string& event : chart.events_) {
    if (!used_events.contains(event)) {
      in.Fail("events", "lists \"" + event + "\", which no transition uses");
    }
  }
  if (const std::string state = chart.FindUnreachableState(); !state.empty()) {
    in.Fail("states", "lists \"" + state + "\", which cannot be reached");
  }
  if (const auto error = in.Finish()) {
    return failure{error->code, source + ": " + error->message};
  }
  return chart;
}

std::string state_chart::FindUnreachableState() const {
  name_set reached{initial_};
  std::vector<std::string> pending{initial_};
  while (!pending.empty()) {
    const auto from = transitions_.find(pending.back());
    pending.pop_back();
    if (from == transitions_.end()) {
      continue;
    }
    for (const auto& [event, to] : from->second) {
      if (reached.insert(to).second) {
        pending.push_back(to);
      }
    }
  }
  for (const std::string& state : states_) {
    if (!reached.contains(state)) {
      return state;
    }
  }
  return {};
}

const std::string* state_chart::FindNextState(const std::string& state,
                                              std::string_view event) const {
  const auto from = transitions_.find(state);
  if (from == transitions_.end()) {
    return nullptr;
  }
  const auto to = from->second.find(event);
  return to == from->second.end() ? nullptr : &to->second;
}

const state_chart& EmbeddedChart(const std::string& name) {
  static const auto* charts = new std::map<std::string, state_chart>(ParseEmbeddedCharts());
  const auto found = charts->find(name);
  if (found == charts->end()) {
    std::fprintf(stderr, "there is no chart named \"%s\"\n", name.c_str());
    std::abort();
  }
  return found->second;
}

}  // namespace limpetlever
