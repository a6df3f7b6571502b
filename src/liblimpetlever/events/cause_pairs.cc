#include "events/cause_pairs.h"

#include <map>

namespace limpetlever {

namespace {

/** Step of an attempt that the event records: 0 sent, 1 started or refused, 2 answered; else -1. */
int AttemptStep(event_number number) {
  switch (number) {
    case event_number::attempt_sent:
    case event_number::hedge_sent:
    case event_number::retry_sent:
      return 0;
    case event_number::attempt_started:
    case event_number::attempt_refused:
      return 1;
    case event_number::attempt_answered:
      return 2;
    default:
      return -1;
  }
}

}  // namespace

std::string FieldValue(const event& entry, const std::string& name) {
  for (const event_field& field : entry.fields) {
    if (field.name == name) {
      return field.value;
    }
  }
  return {};
}

std::vector<cause_pair> FindCausePairs(const std::vector<event>& events) {
  std::map<std::string, std::vector<std::size_t>> steps[3];
  for (std::size_t i = 0; i < events.size(); ++i) {
    const int step = AttemptStep(events[i].number);
    const std::string attempt = step < 0 ? "" : FieldValue(events[i], "attempt");
    if (!attempt.empty()) {
      steps[step][attempt].push_back(i);
    }
  }
  std::vector<cause_pair> pairs;
  const auto add_pairs = [&pairs, &steps](int first, int second) {
    for (const auto& [attempt, causes] : steps[first]) {
      const auto effects = steps[second].find(attempt);
      // If an attempt has two events of one step, it is unknown which of them is the cause.
      if (causes.size() == 1 && effects != steps[second].end() && effects->second.size() == 1) {
        pairs.push_back({.cause = causes.front(), .effect = effects->second.front()});
      }
    }
  };
  add_pairs(0, 1);
  add_pairs(1, 2);
  add_pairs(0, 2);
  return pairs;
}

}  // namespace limpetlever
