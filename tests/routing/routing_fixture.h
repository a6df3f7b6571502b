#ifndef LIMPETLEVER_TESTS_ROUTING_ROUTING_FIXTURE_H_
#define LIMPETLEVER_TESTS_ROUTING_ROUTING_FIXTURE_H_

#include <memory>
#include <string>

#include "base/errc.h"
#include "base/random_source.h"
#include "routing/attempt_result.h"
#include "routing/fan_out.h"
#include "routing/replica_selector.h"
#include "routing/routing_snapshot.h"
#include "routing/service_records.h"

namespace limpetlever {

inline instant At(double ms) {
  return instant(duration(static_cast<std::int64_t>(ms * 1000) + 1'000'000'000));
}

inline duration Ms(double ms) {
  return duration(static_cast<std::int64_t>(ms * 1000));
}

inline candidate Replica(const std::string& name, const std::string& data_centre = "dc-a") {
  return {.replica = name, .service = "matching", .data_centre = data_centre, .limit = 1000};
}

/** A map of `shards` shards, where shard S has the replicas "S-0", "S-1" and so on. */
inline partition_map Map(std::int64_t version, int shards, int replicas) {
  partition_map map{.version = version, .shards = {}};
  map.shards.resize(shards);
  for (int shard = 0; shard < shards; ++shard) {
    for (int copy = 0; copy < replicas; ++copy) {
      map.shards[shard].push_back(Replica(std::to_string(shard) + "-" + std::to_string(copy)));
    }
  }
  return map;
}

inline query_request Query(double limit_ms, std::uint64_t id = 7) {
  return {.id = id,
          .workload = "matching",
          .body = std::make_shared<const std::string>("q"),
          .time_limit = Ms(limit_ms)};
}

inline attempt_result Result(const attempt_request& attempt, verdict outcome) {
  return {.id = attempt.id,
          .replica = attempt.replica,
          .outcome = std::move(outcome),
          .body = "body",
          .snapshot_version = attempt.snapshot_version};
}

inline bool IsSend(const fan_out_action& action) {
  return action.kind == fan_out_action::action_kind::send;
}

/** Records traffic of one service: its 95th percentile is then about 10 ms and its budget full. */
inline void RecordTraffic(service_records& services) {
  service_record& record = services.FindOrCreate("matching");
  for (int i = 0; i < 400; ++i) {
    record.latency.Add(Ms(10));
    record.budget.OnFirstAttempt();
  }
}

}  // namespace limpetlever

#endif  // LIMPETLEVER_TESTS_ROUTING_ROUTING_FIXTURE_H_
