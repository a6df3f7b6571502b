#ifndef LIMPETLEVER_LIMITS_LOST_REQUESTS_H_
#define LIMPETLEVER_LIMITS_LOST_REQUESTS_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "base/time_types.h"

namespace limpetlever {

/**
 * Requests whose connection was lost, or which were given up, while a backend server may have been
 * running them. They are suspected of having crashed the server if it is found to have crashed soon
 * after; a lost connection alone is not enough.
 */
class lost_requests {
 public:
  /** The request `fingerprint` was in flight at `server` when its connection was lost. */
  void Add(const std::string& server, std::uint64_t fingerprint, instant now);
  /**
   * Removes and returns the fingerprints of requests recently lost at `server`. To be called when
   * the server refuses connections, is no longer registered, or has restarted.
   */
  std::vector<std::uint64_t> TakeForServer(const std::string& server, instant now);
  std::size_t size() const { return lost_.size(); }

 private:
  struct lost_request {
    std::string server;
    std::uint64_t fingerprint = 0;
    instant at;
  };
  void RemoveExpired(instant now);

  std::deque<lost_request> lost_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_LIMITS_LOST_REQUESTS_H_
