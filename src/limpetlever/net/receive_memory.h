#ifndef LIMPETLEVER_NET_RECEIVE_MEMORY_H_
#define LIMPETLEVER_NET_RECEIVE_MEMORY_H_

#include <cstddef>
#include <unordered_map>

namespace limpetlever {

/**
 * Limits the memory that the incomplete messages of many connections take together. If they exceed
 * it, the largest ones are given up, so that peers that send without end cost the others nothing.
 */
class receive_memory {
 public:
  /** A connection that receives a message. */
  class holder {
   public:
    virtual ~holder() = default;
    /** The message is to be given up. Must call Release. */
    virtual void OnMemoryReclaimed() = 0;
  };

  /** `max_bytes`: the limit of all holders together. */
  explicit receive_memory(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /** Takes effect at the next call of Hold. */
  void SetMaxBytes(std::size_t max_bytes) { max_bytes_ = max_bytes; }
  /**
   * The incomplete message of `from` takes `bytes` now, instead of what it took before. Gives up
   * the largest messages, among them perhaps that of `from`, before it returns.
   */
  void Hold(holder& from, std::size_t bytes);
  /** `from` holds no incomplete message any more. */
  void Release(holder& from);
  /** What all incomplete messages take. */
  std::size_t held_bytes() const { return held_bytes_; }
  /** How many messages were given up since the start. */
  std::size_t reclaimed_count() const { return reclaimed_count_; }

 private:
  std::size_t max_bytes_;
  std::size_t held_bytes_ = 0;
  std::size_t reclaimed_count_ = 0;
  std::unordered_map<holder*, std::size_t> holders_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_RECEIVE_MEMORY_H_
