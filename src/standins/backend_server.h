#ifndef LIMPETLEVER_BACKEND_SERVER_H_
#define LIMPETLEVER_BACKEND_SERVER_H_

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "backend_settings.h"
#include "base/random_source.h"
#include "http_service.h"

namespace limpetlever {

/**
 * Stand-in for one backend server: an HTTP server that answers sub-queries (/shard/N), submissions
 * (/submit), cancellations (/cancel/ID) and /status, with the faults of its settings. Settings,
 * Crash() and Record() may be used from any thread.
 */
class backend_server {
 public:
  backend_server(std::string ip, backend_settings settings, std::uint64_t seed);
  ~backend_server();

  int port() const { return port_; }

  /**
   * After a crash, closes the port and starts a new instance once `restart_ms` has passed. To be
   * called every few milliseconds, from one thread.
   */
  void Tick();

  backend_settings settings() const;
  void set_settings(const backend_settings& settings);
  /** Closes all requests without a response; the next Tick() closes the port. */
  void Crash();
  /**
   * JSON with the counters, the greatest number of concurrent requests, the time at which work last
   * began, and under "ledger" the number of runs of each idempotency key.
   */
  std::string Record() const;

 private:
  using clock = std::chrono::steady_clock;

  void Start();
  void HandleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response);
  void HandleWork(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
  /** As Crash(); the caller holds `mutex_`. */
  void CrashLocked();
  /** The body of /status; the caller holds `mutex_`. */
  std::string FormatStatus() const;
  bool IsCold() const { return work_time_.count() < settings_.warm_up_ms * 1000LL; }
  int Limit() const { return IsCold() ? settings_.cold_slots : settings_.slots; }

  const std::string ip_;
  mutable std::mutex mutex_;
  std::condition_variable state_changed_;
  backend_settings settings_;
  random_source random_;
  int port_ = 0;
  std::string instance_id_;
  int instance_count_ = 0;
  bool is_down_ = false;
  clock::time_point restart_at_;
  /** Sum of the service times of this instance, which ends its cold phase. */
  std::chrono::microseconds work_time_{};
  /** Ids of the requests that hold a slot. */
  std::set<std::string> running_ids_;
  std::set<std::string> cancelled_ids_;
  /** Client addresses of the connections whose first request has already been delayed. */
  std::set<std::string> seen_connections_;
  int max_running_ = 0;
  int over_limit_count_ = 0;
  long received_count_ = 0;
  long shed_count_ = 0;
  long cancel_count_ = 0;
  std::int64_t last_work_ms_ = 0;
  /** Number of runs of each idempotency key, over all instances. */
  std::map<std::string, int> runs_by_key_;
  std::unique_ptr<http_service> service_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_BACKEND_SERVER_H_
