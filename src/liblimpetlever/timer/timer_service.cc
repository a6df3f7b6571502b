#include "timer/timer_service.h"

#include <algorithm>
#include <utility>

namespace limpetlever {

timer_service::timer_id timer_service::Subscribe(instant due, callback call) {
  return Insert(due, duration::zero(), std::move(call));
}

timer_service::timer_id timer_service::SubscribeEvery(instant first,
                                                      duration period,
                                                      callback call) {
  return Insert(first, period, std::move(call));
}

timer_service::timer_id timer_service::Insert(instant due, duration period, callback call) {
  std::function<void()> wake_up;
  timer_id id = 0;
  {
    const std::lock_guard lock(mutex_);
    id = next_id_++;
    const bool is_first = entries_.empty() || due < entries_.begin()->first;
    entries_.emplace(due, entry{id, period, std::move(call)});
    due_by_id_.emplace(id, due);
    if (is_first) {
      wake_up = wake_up_;
    }
  }
  if (wake_up) {
    wake_up();
  }
  return id;
}

void timer_service::Cancel(timer_id id) {
  const std::lock_guard lock(mutex_);
  const auto due = due_by_id_.find(id);
  if (due == due_by_id_.end()) {
    return;
  }
  const auto [first, last] = entries_.equal_range(due->second);
  const auto found =
      std::find_if(first, last, [id](const auto& item) { return item.second.id == id; });
  if (found != last) {
    entries_.erase(found);
  }
  due_by_id_.erase(due);
}

std::optional<std::pair<instant, timer_service::entry>> timer_service::TakeDue(instant now) {
  const std::lock_guard lock(mutex_);
  if (entries_.empty() || entries_.begin()->first > now) {
    return std::nullopt;
  }
  const auto node = entries_.extract(entries_.begin());
  const instant due = node.key();
  entry item = node.mapped();
  if (item.period > duration::zero()) {
    // After a late Advance a periodic callback runs once, not once for each missed period.
    const instant next = std::max(due + item.period, now);
    entries_.emplace(next, item);
    due_by_id_[item.id] = next;
  } else {
    due_by_id_.erase(item.id);
  }
  return std::pair{due, std::move(item)};
}

void timer_service::Advance(instant now) {
  // Bounds the work of one call: a periodic callback that is rescheduled at `now` runs in the next
  // call.
  std::size_t budget = 0;
  {
    const std::lock_guard lock(mutex_);
    budget = entries_.size();
  }
  for (; budget > 0; --budget) {
    auto due = TakeDue(now);
    if (!due) {
      return;
    }
    due->second.call(now);
  }
}

std::optional<instant> timer_service::NextDue() const {
  const std::lock_guard lock(mutex_);
  if (entries_.empty()) {
    return std::nullopt;
  }
  return entries_.begin()->first;
}

void timer_service::SetWakeUpCallback(std::function<void()> wake_up) {
  const std::lock_guard lock(mutex_);
  wake_up_ = std::move(wake_up);
}

}  // namespace limpetlever
