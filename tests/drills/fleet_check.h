#ifndef TESTS_DRILLS_FLEET_CHECK_H_
#define TESTS_DRILLS_FLEET_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time_types.h"
#include "drills/drill_caller.h"

namespace limpetlever {

/**
 * Judges what callers and backend servers see of the hosts against the history of the store. Rules
 * with a time bound hold only while neither the store nor the host has been disrupted for
 * kStability.
 */
class fleet_check {
 public:
  static constexpr duration kStability = std::chrono::seconds(4);
  /** From the confirmation of a version until all hosts follow it. */
  static constexpr duration kConfigLimit = std::chrono::seconds(3);
  /** From the confirmation that a server drains or is gone until requests stop. */
  static constexpr duration kDrainLimit = std::chrono::seconds(3);
  static constexpr duration kEvacuationLimit = std::chrono::seconds(5);
  /** From the effect of a version until requests of the host may not be handled by older ones. */
  static constexpr duration kRollbackSlack = std::chrono::milliseconds(250);
  /** For how long a host may refuse requests for a service that has servers. */
  static constexpr duration kRefusalLimit = std::chrono::seconds(4);

  /** Whether a server of the service was usable since the given time. */
  using served_function = std::function<bool(const std::string& service, instant since)>;

  explicit fleet_check(served_function is_served) : is_served_(std::move(is_served)) {}

  /** A key has changed; `value` is null if it was removed. */
  void OnStoreChange(instant now, const std::string& key, const std::string* value);
  void OnStoreAway(instant now);
  void OnStoreReturn(instant now);
  /** The process of a host was started or killed. */
  void OnHostDisrupted(instant now, const std::string& host);
  void OnOutcome(instant now, const std::string& host, const drill_caller::outcome& outcome);
  /** A request that a caller sent at `sent` reaches a server. */
  void OnArrival(instant now,
                 instant sent,
                 const std::string& host,
                 const std::string& server,
                 const std::string& data_centre);
  void AddViolation(instant now, const std::string& rule, const std::string& details);

  /** One line for each violation, up to a limit for each rule. */
  const std::vector<std::string>& violations() const { return violations_; }
  std::size_t violation_count() const { return violation_count_; }
  /** Requests after a return of the store whose handling was compared with the versions. */
  std::size_t checked_count() const { return checked_count_; }
  /** The time that lines of violations count from. */
  void SetStart(instant start) { start_ = start; }

 private:
  using route_map = std::map<std::string, std::string>;
  struct version {
    instant time;
    std::int64_t number = 0;
    /** From prefix to service. */
    route_map routes;
  };
  struct refusal {
    instant begin;
    bool is_reported = false;
  };

  /** The lowest version that a host can have, judged by its answers up to `time`. */
  struct lower_bound {
    instant time;
    std::int64_t number = 0;
  };

  bool IsStoreCalm(instant time) const;
  /** Whether the process of the host has been able to read the store before `time`. */
  bool KnowsFleet(const std::string& host, instant time) const;
  bool IsCalm(const std::string& host, instant time) const;
  /** The first entry of `versions_` that a request sent at `sent` may be handled by. */
  std::size_t FirstAllowed(instant sent) const;
  void CheckVersion(instant now, const std::string& host, const drill_caller::outcome& outcome);
  /** Holds at any time: a process may not go back to an older version. */
  void CheckRollback(instant now, const std::string& host, const drill_caller::outcome& outcome);
  void CheckRefusal(instant now, const std::string& host, const drill_caller::outcome& outcome);

  const served_function is_served_;
  instant start_;
  /** What the store has held, in order of time. */
  std::vector<version> versions_;
  std::map<std::int64_t, route_map> routes_by_number_;
  /** Of the current process of each host, in order of time. */
  std::map<std::string, std::vector<lower_bound>> lower_bounds_;
  /** Since when a server is draining or gone; absent: it is ready. */
  std::map<std::string, instant> unusable_since_;
  std::map<std::string, instant> evacuated_since_;
  /** Begin and end of times in which the store was away; the end of the last one may be open. */
  std::vector<std::pair<instant, std::optional<instant>>> outages_;
  std::map<std::string, std::vector<instant>> host_disruptions_;
  std::map<std::pair<std::string, std::string>, refusal> refusals_;
  std::vector<std::string> violations_;
  std::map<std::string, std::size_t> violations_by_rule_;
  std::size_t violation_count_ = 0;
  std::size_t checked_count_ = 0;
};

}  // namespace limpetlever

#endif  // TESTS_DRILLS_FLEET_CHECK_H_
