#ifndef LIMPETLEVER_BENCH_SIMULATED_BACKEND_H_
#define LIMPETLEVER_BENCH_SIMULATED_BACKEND_H_

#include <map>
#include <vector>

#include "base/random_source.h"
#include "base/time_types.h"
#include "base/verdict.h"
#include "routing/attempt_id.h"

namespace limpetlever {

/**
 * One backend server in simulated time. It warms up after each start: meanwhile its capacity is
 * only a part of its slots, and its service times are longer. It refuses requests above its
 * capacity.
 */
class simulated_backend {
 public:
  struct traits {
    int slots = 2;
    duration service_time = std::chrono::milliseconds(10);
    /** Time from a start until the server is warm; 0: it is always warm. */
    duration warm_up{};
    /** Factor on the service time of a server that has just started. */
    double cold_factor = 4.0;
    /** Service times vary by up to this share in both directions. */
    double variation = 0.2;
  };
  struct answer {
    attempt_id id;
    verdict outcome;
    duration elapsed{};
  };

  simulated_backend(const traits& server_traits, unsigned seed)
      : traits_(server_traits), random_(seed) {}

  /** Restarts the server, which is cold again. Returns the running requests, which are lost. */
  std::vector<attempt_id> Restart(instant now);
  /** Requests that the server can run at the same time now, at least 1. */
  int Capacity(instant now) const;
  /** Starts a request, or refuses it if the server is at its capacity. */
  void Start(const attempt_id& id, instant now);
  /** When the next answer is ready; instant::max() if no request is running. */
  instant NextAnswer() const;
  /** Removes and returns the answer that is ready at NextAnswer(); a request must be running. */
  answer TakeAnswer();
  /** Number of requests that were sent while the server was at its capacity. */
  int excess_requests() const { return excess_requests_; }
  int running() const { return static_cast<int>(running_.size()); }

 private:
  struct request {
    attempt_id id;
    instant started;
    bool is_refused = false;
  };
  double WarmUpProgress(instant now) const;

  const traits traits_;
  random_source random_;
  instant started_{};
  std::multimap<instant, request> running_;
  int excess_requests_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_BENCH_SIMULATED_BACKEND_H_
