#include "server/data_centre_states.h"

#include "chart/state_chart.h"
#include "events/event_log.h"
#include "routing/data_centre_ramp.h"

namespace limpetlever {

void data_centre_states::SetRows(const std::vector<data_centre_row>& rows, instant now) {
  const std::lock_guard lock(mutex_);
  std::map<std::string, entry> entries;
  for (const data_centre_row& row : rows) {
    auto node = entries_.extract(row.name);
    entry item = node.empty()
                     ? entry{.state = chart_state(EmbeddedChart("data_centre")), .changed_at = now}
                     : node.mapped();
    const std::string before = item.state.state();
    const bool has_changed =
        row.taken_out ? item.state.Fire("take_out") : item.state.Fire("take_in");
    if (has_changed) {
      item.changed_at = now;
      Record(row.name, before, item.state.state());
    }
    entries.emplace(row.name, item);
  }
  entries_ = std::move(entries);
}

void data_centre_states::Advance(instant now) {
  const std::lock_guard lock(mutex_);
  for (auto& [name, item] : entries_) {
    const std::string before = item.state.state();
    if (now - item.changed_at >= data_centre_ramp::kRampDuration && item.state.Fire("ramp_done")) {
      Record(name, before, item.state.state());
    }
  }
}

std::string data_centre_states::DataCentreState(const std::string& data_centre) const {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(data_centre);
  return found == entries_.end() ? EmbeddedChart("data_centre").initial()
                                 : found->second.state.state();
}

void data_centre_states::Record(const std::string& data_centre,
                                const std::string& from,
                                const std::string& to) {
  events_.Record(event_number::data_centre_state_changed,
                 {{"data_centre", data_centre}, {"from", from}, {"to", to}});
}

}  // namespace limpetlever
