#include "chart/chart_state.h"

#include "chart/state_chart.h"

namespace limpetlever {

chart_state::chart_state(const state_chart& chart) : chart_(&chart), state_(&chart.initial()) {}

bool chart_state::Fire(std::string_view event) {
  const std::string* next = chart_->FindNextState(*state_, event);
  if (next == nullptr) {
    return false;
  }
  state_ = next;
  return true;
}

}  // namespace limpetlever
