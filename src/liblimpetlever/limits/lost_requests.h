#ifndef LIMPETLEVER_LIMITS_LOST_REQUESTS_H_
#define LIMPETLEVER_LIMITS_LOST_REQUESTS_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/time_types.h"

namespace limpetlever {

/**
 * Requests whose connection ended while a backend server may have run them. When the server proves
 * dead soon after, they are suspected of having crashed it; a lost connection alone is no sign.
 */
class lost_requests {
 public:
  /** `fingerprint` was in flight at `server` when the connection was lost. */
  void Add(const std::string& server, std::uint64_t fingerprint, instant now);
  /** The server refuses connections, has left or runs anew: takes out what it may have died of. */
  std::vector<std::uint64_t> TakeOf(const std::string& server, instant now);
  std::size_t size() const { return lost_.size(); }

 private:
  struct loss {
    std::string server;
    std::uint64_t fingerprint = 0;
    instant at;
  };
  void Forget(instant now);

  std::deque<loss> lost_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_LOST_REQUESTS_H_
