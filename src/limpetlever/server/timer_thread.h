#ifndef LIMPETLEVER_SERVER_TIMER_THREAD_H_
#define LIMPETLEVER_SERVER_TIMER_THREAD_H_

#include <condition_variable>
#include <mutex>
#include <thread>

#include "timer/timer_service.h"

namespace limpetlever {

/**
 * Runs a timer service on a thread of its own, by the monotonic clock. All timer callbacks run on
 * this thread and must not block.
 */
class timer_thread {
 public:
  timer_thread();
  ~timer_thread();
  timer_thread(const timer_thread&) = delete;
  timer_thread& operator=(const timer_thread&) = delete;

  timer_service& timers() { return timers_; }

 private:
  void Run();

  timer_service timers_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool is_woken_ = false;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_TIMER_THREAD_H_
