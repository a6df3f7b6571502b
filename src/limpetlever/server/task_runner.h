#ifndef LIMPETLEVER_SERVER_TASK_RUNNER_H_
#define LIMPETLEVER_SERVER_TASK_RUNNER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include "timer/timer_service.h"

namespace boost::asio {
class thread_pool;
}

namespace limpetlever {

/** Runs tasks that may block on a thread pool, once or periodically. */
class task_runner {
 public:
  task_runner(timer_service& timers, int threads);
  ~task_runner();
  task_runner(const task_runner&) = delete;
  task_runner& operator=(const task_runner&) = delete;

  /** Runs `task` once, as soon as a thread is free. */
  void Post(std::function<void()> task);

  /** Runs `task` every `period` until Stop; skips a run while the previous one is in progress. */
  void Every(duration period, std::function<void()> task);

  /** Cancels the periodic tasks and waits for posted and running tasks. */
  void Stop();

 private:
  timer_service& timers_;
  std::atomic<bool> is_stopping_ = false;
  std::vector<timer_service::timer_id> subscriptions_;
  std::unique_ptr<boost::asio::thread_pool> pool_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_TASK_RUNNER_H_
