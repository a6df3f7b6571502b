#include "node/log_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

#include "events/log_line.h"
#include "net/event_loop.h"

namespace limpetlever {

namespace {

// Lines of this interval share one write, since a write costs more than formatting a line.
constexpr duration kFlushDelay = std::chrono::milliseconds(250);
// Bounds the memory of lines that a stalled reader has not read.
constexpr std::size_t kMaxBufferedBytes = 64 * 1024;
// Twice the requests, hedges and retries that a host with a sixth of a core serves in a second.
constexpr int kMaxRequestLinesPerSecond = 200;

bool IsRequestEvent(event_number number) {
  return number >= event_number::request_answered && number < event_number::config_adopted;
}

}  // namespace

log_writer::log_writer(event_loop& loop, std::string host, int fd)
    : loop_(loop), host_(std::move(host)), fd_(fd) {
  const int flags = fcntl(fd_, F_GETFL);
  if (flags >= 0) {
    fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
  }
}

log_writer::~log_writer() {
  if (is_flush_due_) {
    loop_.timers().Cancel(flush_);
  }
  Flush();
}

bool log_writer::MayAppend(event_number number) {
  if (buffer_.size() >= kMaxBufferedBytes) {
    return false;
  }
  if (!IsRequestEvent(number)) {
    return true;
  }
  if (loop_.Now() - second_start_ >= std::chrono::seconds(1)) {
    second_start_ = loop_.Now();
    request_lines_ = 0;
  }
  return ++request_lines_ <= kMaxRequestLinesPerSecond;
}

void log_writer::Record(event_number number, std::initializer_list<log_field> fields) {
  ++sequence_;
  if (!MayAppend(number)) {
    ++unreported_drops_;
    ++dropped_total_;
    return;
  }
  const log_line_header origin{.host = host_, .time = ReadWallClock(), .sequence = sequence_};
  AppendLogLine(buffer_, origin, number, {fields.begin(), fields.size()});
  if (!is_flush_due_) {
    is_flush_due_ = true;
    flush_ = loop_.timers().Subscribe(loop_.Now() + kFlushDelay, [this](instant) {
      is_flush_due_ = false;
      Flush();
    });
  }
}

void log_writer::Flush() {
  if (unreported_drops_ > 0 && buffer_.size() < kMaxBufferedBytes) {
    const auto count = std::exchange(unreported_drops_, 0);
    Record(event_number::log_lines_dropped, {{"count", count}});
  }
  std::size_t written = 0;
  while (written < buffer_.size()) {
    const ssize_t size = write(fd_, buffer_.data() + written, buffer_.size() - written);
    if (size <= 0) {
      break;
    }
    written += static_cast<std::size_t>(size);
  }
  // Only whole lines may be dropped, so the rest of a partly written line stays at the front.
  buffer_.erase(0, written);
}

}  // namespace limpetlever
