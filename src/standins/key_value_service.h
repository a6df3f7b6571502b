#ifndef LIMPETLEVER_KEY_VALUE_SERVICE_H_
#define LIMPETLEVER_KEY_VALUE_SERVICE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "http_service.h"
#include "key_value_faults.h"

namespace limpetlever {

/**
 * Stand-in for the platform's key-value service: PUT and GET /kv/KEY. A write succeeds only if
 * `revision` is the current one (0: no value), and may attach a lease; a read with `after` waits up
 * to `wait_ms` for a newer revision.
 */
class key_value_service {
 public:
  key_value_service(const std::string& ip, int port);

  int port() const { return service_.port(); }

  void set_faults(const key_value_faults& faults);
  key_value_faults faults() const;
  /** JSON with the number of calls since the start, by kind; a watch that waits counts once. */
  std::string Counters() const;

 private:
  struct stored_value {
    std::string value;
    std::int64_t revision = 0;
    /** When the value is removed, if it has a lease. */
    std::optional<std::chrono::steady_clock::time_point> lease_end;
  };
  /** Removes the values whose lease has ended; the caller holds `mutex_`. */
  void RemoveExpired();
  void HandleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response);
  /** If `after` is not negative, waits for a greater revision; 304 if none comes in time. */
  void HandleGet(const std::string& key,
                 std::int64_t after,
                 std::int64_t wait_ms,
                 Poco::Net::HTTPServerResponse& response);
  /** Answers 409 and stores nothing if `revision` is not the current one. */
  void HandlePut(const std::string& key,
                 std::int64_t revision,
                 std::int64_t lease_ms,
                 const std::string& value,
                 Poco::Net::HTTPServerRequest& request,
                 Poco::Net::HTTPServerResponse& response);

  mutable std::mutex mutex_;
  std::condition_variable entry_changed_;
  key_value_faults faults_;
  std::map<std::string, long> calls_by_kind_;
  std::map<std::string, stored_value> entries_;
  std::int64_t last_revision_ = 0;
  http_service service_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_KEY_VALUE_SERVICE_H_
