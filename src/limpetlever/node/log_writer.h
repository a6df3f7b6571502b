#ifndef LIMPETLEVER_NODE_LOG_WRITER_H_
#define LIMPETLEVER_NODE_LOG_WRITER_H_

#include <cstdint>
#include <initializer_list>
#include <string>

#include "base/time_types.h"
#include "events/event_number.h"
#include "events/log_field.h"
#include "timer/timer_service.h"

namespace limpetlever {

class event_loop;

/**
 * Writes the structured log to a file descriptor, usually standard output. Lines are buffered and
 * written at intervals without blocking. Lines that find the buffer full because the reader is
 * slow, and request events above a rate limit, are dropped and counted.
 */
class log_writer {
 public:
  log_writer(event_loop& loop, std::string host, int fd);
  ~log_writer();
  log_writer(const log_writer&) = delete;
  log_writer& operator=(const log_writer&) = delete;

  void Record(event_number number, std::initializer_list<log_field> fields);
  /** Writes as much of the buffer as the file descriptor accepts without blocking. */
  void Flush();
  /** Number of lines dropped since the start. */
  std::uint64_t dropped() const { return dropped_total_; }

 private:
  /** Whether an event of this number fits the buffer and the rate limit of request events. */
  bool MayAppend(event_number number);

  event_loop& loop_;
  const std::string host_;
  const int fd_;
  std::string buffer_;
  std::uint64_t sequence_ = 0;
  /** Lines dropped since the last log_lines_dropped event. */
  std::uint64_t unreported_drops_ = 0;
  std::uint64_t dropped_total_ = 0;
  timer_service::timer_id flush_ = 0;
  bool is_flush_due_ = false;
  /** Request events in the current second. Only these are rate-limited, not the other events. */
  int request_lines_ = 0;
  instant second_start_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_LOG_WRITER_H_
