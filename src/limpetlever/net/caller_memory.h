#ifndef LIMPETLEVER_NET_CALLER_MEMORY_H_
#define LIMPETLEVER_NET_CALLER_MEMORY_H_

#include <cstddef>

#include "net/receive_memory.h"

namespace limpetlever {

/**
 * Limits the memory that the connections of callers take together. One half is for requests that
 * are being handled, which are refused if they do not fit; the other half is for what may be given
 * up: incomplete requests and unread answers, the largest first.
 */
class caller_memory {
 public:
  explicit caller_memory(std::size_t max_bytes) : unfinished_(max_bytes / 2) {
    SetMaxBytes(max_bytes);
  }

  /** Takes effect at the next request or read. */
  void SetMaxBytes(std::size_t max_bytes) {
    max_open_bytes_ = max_bytes / 2;
    unfinished_.SetMaxBytes(max_bytes / 2);
  }
  /**
   * Whether a request of this size may be handled. The less memory is left, the smaller a request
   * must be, so that large bodies do not keep ordinary requests out.
   */
  bool Admits(std::size_t bytes) const {
    return open_bytes_ <= max_open_bytes_ && bytes <= (max_open_bytes_ - open_bytes_) / kMinRatio;
  }
  /** A request that is being handled takes `bytes` more. */
  void AddOpen(std::size_t bytes) { open_bytes_ += bytes; }
  void RemoveOpen(std::size_t bytes) { open_bytes_ -= bytes; }
  /** What may be given up. */
  receive_memory& unfinished() { return unfinished_; }
  const receive_memory& unfinished() const { return unfinished_; }

  /** What all connections hold. */
  std::size_t held_bytes() const { return open_bytes_ + unfinished_.held_bytes(); }

 private:
  /** Memory that must be left, in multiples of the request. */
  static constexpr std::size_t kMinRatio = 8;

  std::size_t max_open_bytes_ = 0;
  std::size_t open_bytes_ = 0;
  receive_memory unfinished_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_CALLER_MEMORY_H_
