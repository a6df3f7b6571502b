#ifndef LIMPETLEVER_CHART_STATE_CHART_H_
#define LIMPETLEVER_CHART_STATE_CHART_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "base/result.h"

namespace limpetlever {

/** A state machine: states, events and transitions of one kind of object. Immutable. */
class state_chart {
 public:
  /**
   * Parses and checks the text of a chart file. Fails with invalid_input, naming `source`, when a
   * name is unknown or listed twice, a state cannot be reached, an event is never used, or a state
   * has two transitions for one event.
   */
  static result<state_chart> Parse(const std::string& text, const std::string& source);

  const std::string& name() const { return name_; }
  const std::string& initial() const { return initial_; }
  bool HasState(std::string_view state) const { return states_.contains(state); }
  bool HasEvent(std::string_view event) const { return events_.contains(event); }

  /** The state that `event` leads to from `state`; nullptr if there is no such transition. */
  const std::string* FindNextState(const std::string& state, std::string_view event) const;

  bool operator==(const state_chart&) const = default;

 private:
  using name_set = std::set<std::string, std::less<>>;
  state_chart() = default;
  std::string FindUnreachableState() const;

  std::string name_;
  std::string initial_;
  name_set states_;
  name_set events_;
  std::map<std::string, std::map<std::string, std::string, std::less<>>> transitions_;
};

/** Returns the embedded chart of that name; aborts if it does not exist or any chart is invalid. */
const state_chart& EmbeddedChart(const std::string& name);

}  // namespace limpetlever

#endif  // LIMPETLEVER_CHART_STATE_CHART_H_
