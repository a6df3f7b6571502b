#ifndef LIMPETLEVER_EVENTS_EVENT_LOG_H_
#define LIMPETLEVER_EVENTS_EVENT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "events/event.h"

namespace limpetlever {

/**
 * Bounded log of the newest events of one host. When it is full, the oldest event about a query or
 * attempt is evicted; if other events fill more than half of the capacity, the oldest of those is.
 * Thread-safe.
 */
class event_log {
 public:
  /**
   * Keeps at most `capacity` events. `clock` gives the time of an event. `listener`, if set, is
   * called with each event on the thread that records it, for example to write it to the log.
   */
  event_log(std::string host,
            std::size_t capacity,
            std::function<wall_time()> clock,
            std::function<void(const event&)> listener = {});

  void Record(event_number number, std::vector<event_field> fields);

  /** Returns the first `max_count` events with a sequence number above `after`, oldest first. */
  std::vector<event> Read(std::uint64_t after, std::size_t max_count) const;

 private:
  const std::string host_;
  const std::size_t capacity_;
  const std::function<wall_time()> clock_;
  const std::function<void(const event&)> listener_;
  mutable std::mutex mutex_;
  /**
   * Events about queries and attempts. A busy host records thousands of them a second, so they are
   * stored apart and do not evict rarer events.
   */
  std::deque<event> request_events_;
  std::deque<event> other_events_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_EVENTS_EVENT_LOG_H_
