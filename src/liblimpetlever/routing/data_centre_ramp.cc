#include "routing/data_centre_ramp.h"

#include <algorithm>
#include <utility>

namespace limpetlever {

namespace {

constexpr double kInitialShare = 0.05;

}  // namespace

void data_centre_ramp::SetRows(const std::vector<data_centre_row>& rows, instant now) {
  std::map<std::string, ramp_state> next;
  for (const data_centre_row& row : rows) {
    const auto known = states_.find(row.name);
    ramp_state state =
        known == states_.end() ? ramp_state{.taken_out = row.taken_out} : known->second;
    if (state.taken_out && !row.taken_out) {
      state.returning = true;
      state.returned_at = now;
    }
    state.taken_out = row.taken_out;
    next.emplace(row.name, state);
  }
  states_ = std::move(next);
}

double data_centre_ramp::Share(const std::string& data_centre, instant now) const {
  const auto found = states_.find(data_centre);
  if (found == states_.end()) {
    return 1.0;
  }
  const ramp_state& state = found->second;
  if (state.taken_out) {
    return 0.0;
  }
  if (!state.returning) {
    return 1.0;
  }
  const double progress = std::chrono::duration<double>(now - state.returned_at) /
                          std::chrono::duration<double>(kRampDuration);
  return std::clamp(kInitialShare + (1.0 - kInitialShare) * progress, kInitialShare, 1.0);
}

}  // namespace limpetlever
