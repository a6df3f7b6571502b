#include "server/task_runner.h"

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <utility>

#include "transport/monotonic_clock.h"

namespace limpetlever {

task_runner::task_runner(timer_service& timers, int threads)
    : timers_(timers), pool_(std::make_unique<boost::asio::thread_pool>(threads)) {}

task_runner::~task_runner() {
  Stop();
}

void task_runner::Post(std::function<void()> task) {
  boost::asio::post(*pool_, std::move(task));
}

void task_runner::Every(duration period, std::function<void()> task) {
  const auto is_running = std::make_shared<std::atomic<bool>>(false);
  const auto shared_task = std::make_shared<std::function<void()>>(std::move(task));
  subscriptions_.push_back(timers_.SubscribeEvery(
      MonotonicNow(), period, [this, is_running, shared_task](instant /*now*/) {
        if (is_stopping_ || is_running->exchange(true)) {
          return;
        }
        Post([is_running, shared_task] {
          (*shared_task)();
          *is_running = false;
        });
      }));
}

void task_runner::Stop() {
  is_stopping_ = true;
  for (const timer_service::timer_id id : subscriptions_) {
    timers_.Cancel(id);
  }
  subscriptions_.clear();
  pool_->join();
}

}  // namespace limpetlever
