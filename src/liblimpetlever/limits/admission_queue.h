#ifndef LIMPETLEVER_LIMITS_ADMISSION_QUEUE_H_
#define LIMPETLEVER_LIMITS_ADMISSION_QUEUE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <system_error>
#include <vector>

#include "base/time_types.h"
#include "limits/refused_attempt.h"
#include "limits/waiting_attempt.h"

namespace limpetlever {

/**
 * Attempts that wait for a slot of one replica. Each pushed attempt leaves the queue exactly once:
 * by Pop, by Remove, or in `refused` with an outcome "not run". Urgent attempts are served before
 * normal ones, except for every fourth slot, which goes to the oldest normal one. Within each kind
 * the oldest is served first, and under overload the newest. Not thread-safe.
 */
class admission_queue {
 public:
  /** Maximum number of waiting attempts; values below 4 count as 4. */
  explicit admission_queue(std::size_t capacity);

  /**
   * Adds an attempt. If the queue is full, the attempt that would be served last, which may be the
   * new one, is refused with `full_reason`.
   */
  void Push(attempt_request attempt,
            instant now,
            std::error_code full_reason,
            std::vector<refused_attempt>& refused);
  /**
   * Removes and returns the next attempt, with its time limit reduced by the time that it waited.
   * First refuses all attempts that have less than `min_time_left` until their deadline.
   */
  std::optional<attempt_request> Pop(instant now,
                                     duration min_time_left,
                                     std::vector<refused_attempt>& refused);
  /** Refuses all attempts that have less than `min_time_left` until their deadline. */
  void RefuseLate(instant now, duration min_time_left, std::vector<refused_attempt>& refused);
  /** Removes an attempt; returns false if it is not in the queue. */
  bool Remove(const attempt_id& id);
  /** Refuses all attempts with `reason`. */
  void Clear(std::error_code reason, std::vector<refused_attempt>& refused);

  bool empty() const { return urgent_.empty() && normal_.empty(); }
  std::size_t size() const { return urgent_.size() + normal_.size(); }

 private:
  using waiting_list = std::deque<waiting_attempt>;
  bool IsOverloaded(instant now) const;
  static waiting_attempt TakeFrom(waiting_list& from, bool is_newest);

  const std::size_t capacity_;
  waiting_list urgent_;
  waiting_list normal_;
  int pops_since_normal_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_ADMISSION_QUEUE_H_
