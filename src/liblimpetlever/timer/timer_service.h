#ifndef LIMPETLEVER_TIMER_TIMER_SERVICE_H_
#define LIMPETLEVER_TIMER_TIMER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "base/time_types.h"

namespace limpetlever {

/**
 * Runs callbacks at requested times. It reads no clock: a thread of the daemon, or a test on
 * simulated time, calls Advance. Thread-safe. Callbacks run on the thread that calls Advance,
 * without the lock held, so that they may subscribe again.
 */
class timer_service {
 public:
  using timer_id = std::uint64_t;
  using callback = std::function<void(instant now)>;

  /** Runs `call` once, at the first Advance whose time is `due` or later. */
  timer_id Subscribe(instant due, callback call);

  /** Runs `call` every `period`, first at `first`. */
  timer_id SubscribeEvery(instant first, duration period, callback call);

  /** Ends a subscription. Does not wait for a callback that is already running. */
  void Cancel(timer_id id);

  /** Runs all callbacks that are due at `now`, in order of their due times. */
  void Advance(instant now);

  /** Earliest time at which a callback is due; nullopt if there are no subscriptions. */
  std::optional<instant> NextDue() const;

  /** Sets a function to call, without the lock held, whenever NextDue() becomes earlier. */
  void SetWakeUpCallback(std::function<void()> wake_up);

 private:
  struct entry {
    timer_id id;
    duration period;
    callback call;
  };
  std::optional<std::pair<instant, entry>> TakeDue(instant now);
  timer_id Insert(instant due, duration period, callback call);

  mutable std::mutex mutex_;
  std::multimap<instant, entry> entries_;
  std::map<timer_id, instant> due_by_id_;
  std::function<void()> wake_up_;
  timer_id next_id_ = 1;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TIMER_TIMER_SERVICE_H_
