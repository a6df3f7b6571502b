#ifndef LIMPETLEVER_CHART_CHART_STATE_H_
#define LIMPETLEVER_CHART_CHART_STATE_H_

#include <string>
#include <string_view>

namespace limpetlever {

class state_chart;

/** The current state of one object whose transitions a chart defines. The chart must outlive it. */
class chart_state {
 public:
  explicit chart_state(const state_chart& chart);

  /** Takes the transition for `event`; returns false if the current state has none. */
  bool Fire(std::string_view event);
  bool IsIn(std::string_view state) const { return *state_ == state; }
  const std::string& state() const { return *state_; }

 private:
  const state_chart* chart_;
  // Points into the chart, which avoids an allocation per object.
  const std::string* state_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CHART_CHART_STATE_H_
