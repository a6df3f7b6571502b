#ifndef LIMPETLEVER_NODE_CRASH_REPORTER_H_
#define LIMPETLEVER_NODE_CRASH_REPORTER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <utility>

#include "limits/crash_guard.h"
#include "limits/crash_report.h"
#include "limits/lost_requests.h"
#include "node/request_fingerprints.h"

namespace limpetlever {

class event_loop;
class log_writer;
struct replica;

/**
 * Finds the requests that crash backend servers, from the requests that were lost when a server
 * went down, and exchanges reports on them with other hosts.
 */
class crash_reporter {
 public:
  crash_reporter(event_loop& loop, log_writer& log);

  /** Sets the function that sends other hosts a report on a suspected request. */
  void OnReport(std::function<void(const crash_report&)> call) { on_report_ = std::move(call); }
  /**
   * Sets the function that stores a report of this host for hosts that start later; called once the
   * request is blocked.
   */
  void OnRequestBlocked(std::function<void(const crash_report&)> call) {
    on_request_blocked_ = std::move(call);
  }
  /** Merges a report of another host; `source` goes into the log. */
  void Merge(const crash_report& report, const char* source);
  /**
   * To be called when a backend server refuses connections, has left or has restarted. Requests
   * recently lost on it are then suspected of having crashed it. `server` is the process that has
   * ended: one that starts again under the same id is another one to crash.
   */
  void OnReplicaDown(const replica& server);
  /** Whether the request is known to crash servers. */
  bool IsBlocked(const request_fingerprints& fingerprints) const;
  /** Records that a request was lost while `server` may have been running it. */
  void AddLost(const replica& server, const request_fingerprints& fingerprints);
  /** The request has completed on all its servers, so that it crashes none. */
  void OnCompleted(const request_fingerprints& fingerprints);

 private:
  /** Logs a report of this host and passes it to the other hosts. */
  void Publish(const crash_report& report);
  /** Passes the marks of this host to `on_request_blocked_` if the request is blocked. */
  void StoreMarksIfBlocked(std::uint64_t fingerprint);

  event_loop& loop_;
  log_writer& log_;
  crash_guard crash_guard_;
  lost_requests lost_requests_;
  std::function<void(const crash_report&)> on_report_;
  std::function<void(const crash_report&)> on_request_blocked_;
  /** Marks of this host that were not passed to `on_request_blocked_`, the oldest first. */
  std::deque<crash_report> unstored_marks_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_CRASH_REPORTER_H_
