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
 * Structured log on standard output. Lines are collected and written at intervals without ever
 * waiting: what a slow reader does not take in time is dropped and counted.
 */
class log_writer {
 public:
  log_writer(event_loop& loop, std::string host, int fd);
  ~log_writer();
  log_writer(const log_writer&) = delete;
  log_writer& operator=(const log_writer&) = delete;

  void Record(event_number number, std::initializer_list<log_field> fields);
  /** Writes what the reader takes now. */
  void Flush();
  std::uint64_t dropped() const { return dropped_total_; }

 private:
  bool HasRoom(event_number number);

  event_loop& loop_;
  const std::string host_;
  const int fd_;
  std::string buffer_;
  std::uint64_t sequence_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_total_ = 0;
  timer_service::timer_id flush_ = 0;
  bool is_flush_due_ = false;
  /** Request lines of the current second; beliefs are always recorded. */
  int request_lines_ = 0;
  instant second_begins_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_LOG_WRITER_H_
