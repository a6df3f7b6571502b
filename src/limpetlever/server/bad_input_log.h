#ifndef LIMPETLEVER_SERVER_BAD_INPUT_LOG_H_
#define LIMPETLEVER_SERVER_BAD_INPUT_LOG_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "base/time_types.h"

namespace limpetlever {

class event_log;
class host_metrics;

/**
 * Counts refused HTTP and Thrift input by reason and records it as events. Safe for use by several
 * threads.
 */
class bad_input_log {
 public:
  bad_input_log(event_log& events, host_metrics& metrics) : events_(events), metrics_(metrics) {}

  /**
   * `reason` is one of a small fixed set of words, and `client` the address of the sender. Every
   * call is counted; events are limited in rate and in the length of `detail`.
   */
  void Add(const std::string& reason, const std::string& client, const std::string& detail);

  /** Number of refused inputs by reason since the start. */
  std::map<std::string, std::uint64_t> counts() const;

 private:
  event_log& events_;
  host_metrics& metrics_;
  mutable std::mutex mutex_;
  std::map<std::string, std::uint64_t> counts_;
  instant window_start_;
  int recorded_in_window_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_BAD_INPUT_LOG_H_
