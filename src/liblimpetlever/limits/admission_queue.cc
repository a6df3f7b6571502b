#include "limits/admission_queue.h"

#include <algorithm>
#include <utility>

#include "base/errc.h"
#include "base/verdict.h"

namespace limpetlever {

namespace {

// Design page: after longer waits the oldest attempts are likely to expire before they are
// answered.
constexpr duration kOverloadedWait = std::chrono::milliseconds(100);
// Design page: every fourth free slot goes to the oldest normal attempt.
constexpr int kNormalInterval = 4;
// Quarters of the capacity that urgent attempts may use; the rest is left for normal ones.
constexpr std::size_t kMaxUrgentQuarters = 3;
constexpr std::size_t kMinCapacity = 4;

void RefuseLateFrom(std::deque<waiting_attempt>& waiting_list,
                    instant now,
                    duration min_time_left,
                    std::vector<refused_attempt>& refused) {
  const auto late = std::stable_partition(
      waiting_list.begin(), waiting_list.end(), [now, min_time_left](const waiting_attempt& item) {
        return item.deadline > now && item.deadline - now >= min_time_left;
      });
  for (auto item = late; item != waiting_list.end(); ++item) {
    refused.push_back({std::move(item->attempt), NotRun(errc::deadline_exceeded)});
  }
  waiting_list.erase(late, waiting_list.end());
}

}  // namespace

admission_queue::admission_queue(std::size_t capacity)
    : capacity_(std::max(kMinCapacity, capacity)) {}

bool admission_queue::IsOverloaded(instant now) const {
  // Both lists are in order of arrival.
  return (!urgent_.empty() && now - urgent_.front().since > kOverloadedWait) ||
         (!normal_.empty() && now - normal_.front().since > kOverloadedWait);
}

waiting_attempt admission_queue::TakeFrom(waiting_list& from, bool is_newest) {
  waiting_attempt item = std::move(is_newest ? from.back() : from.front());
  if (is_newest) {
    from.pop_back();
  } else {
    from.pop_front();
  }
  return item;
}

void admission_queue::Push(attempt_request attempt,
                           instant now,
                           std::error_code full_reason,
                           std::vector<refused_attempt>& refused) {
  const bool is_urgent = attempt.urgent;
  const duration time_limit = attempt.time_limit;
  waiting_list& target_list = is_urgent ? urgent_ : normal_;
  target_list.push_back(
      {.attempt = std::move(attempt), .since = now, .deadline = now + time_limit});
  const bool has_excess_urgent = urgent_.size() > capacity_ * kMaxUrgentQuarters / 4;
  if (size() <= capacity_ && !has_excess_urgent) {
    return;
  }
  // Refuses the attempt that would be served last: the oldest under overload, when the newest are
  // served first, and otherwise the newest.
  waiting_list& victim_list = has_excess_urgent ? urgent_ : normal_;
  refused.push_back({TakeFrom(victim_list, !IsOverloaded(now)).attempt, NotRun(full_reason)});
}

std::optional<attempt_request> admission_queue::Pop(instant now,
                                                    duration min_time_left,
                                                    std::vector<refused_attempt>& refused) {
  RefuseLate(now, min_time_left, refused);
  if (empty()) {
    return std::nullopt;
  }
  const bool is_normal_turn = !normal_.empty() && pops_since_normal_ >= kNormalInterval - 1;
  const bool is_normal = urgent_.empty() || is_normal_turn;
  const bool is_newest = IsOverloaded(now) && !is_normal_turn;
  pops_since_normal_ = is_normal ? 0 : pops_since_normal_ + 1;
  waiting_attempt next = TakeFrom(is_normal ? normal_ : urgent_, is_newest);
  next.attempt.time_limit = next.deadline - now;
  return std::move(next.attempt);
}

void admission_queue::RefuseLate(instant now,
                                 duration min_time_left,
                                 std::vector<refused_attempt>& refused) {
  RefuseLateFrom(urgent_, now, min_time_left, refused);
  RefuseLateFrom(normal_, now, min_time_left, refused);
}

bool admission_queue::Remove(const attempt_id& id) {
  for (waiting_list* items : {&urgent_, &normal_}) {
    const auto found =
        std::find_if(items->begin(), items->end(),
                     [&id](const waiting_attempt& item) { return item.attempt.id == id; });
    if (found != items->end()) {
      items->erase(found);
      return true;
    }
  }
  return false;
}

void admission_queue::Clear(std::error_code reason, std::vector<refused_attempt>& refused) {
  for (waiting_list* items : {&urgent_, &normal_}) {
    for (waiting_attempt& item : *items) {
      refused.push_back({std::move(item.attempt), NotRun(reason)});
    }
    items->clear();
  }
}

}  // namespace limpetlever
