#include "events/event_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace limpetlever {

namespace {

/** Whether events with this number are about a single query or attempt. */
bool IsRequestEvent(event_number number) {
  return (number >= event_number::query_started && number <= event_number::late_answer_dropped) ||
         number == event_number::attempt_started || number == event_number::attempt_refused;
}

}  // namespace

event_log::event_log(std::string host,
                     std::size_t capacity,
                     std::function<wall_time()> clock,
                     std::function<void(const event&)> listener)
    : host_(std::move(host)),
      capacity_(capacity),
      clock_(std::move(clock)),
      listener_(std::move(listener)) {}

void event_log::Record(event_number number, std::vector<event_field> fields) {
  event entry{.host = host_,
              .sequence = 0,
              .time = clock_(),
              .number = number,
              .fields = std::move(fields)};
  {
    const std::lock_guard lock(mutex_);
    entry.sequence = next_sequence_++;
    (IsRequestEvent(number) ? request_events_ : other_events_).push_back(entry);
    if (request_events_.size() + other_events_.size() > capacity_) {
      const bool evicts_other = request_events_.empty() || other_events_.size() > capacity_ / 2;
      (evicts_other ? other_events_ : request_events_).pop_front();
    }
  }
  if (listener_) {
    listener_(entry);
  }
}

std::vector<event> event_log::Read(std::uint64_t after, std::size_t max_count) const {
  const std::lock_guard lock(mutex_);
  std::vector<event> found;
  const auto is_newer = [after](const event& entry) { return entry.sequence > after; };
  std::copy_if(request_events_.begin(), request_events_.end(), std::back_inserter(found), is_newer);
  const auto request_count = static_cast<std::ptrdiff_t>(found.size());
  std::copy_if(other_events_.begin(), other_events_.end(), std::back_inserter(found), is_newer);
  std::inplace_merge(found.begin(), found.begin() + request_count, found.end(),
                     [](const event& a, const event& b) { return a.sequence < b.sequence; });
  found.resize(std::min(found.size(), max_count));
  return found;
}

}  // namespace limpetlever
