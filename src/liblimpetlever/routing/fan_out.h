#ifndef LIMPETLEVER_ROUTING_FAN_OUT_H_
#define LIMPETLEVER_ROUTING_FAN_OUT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time_types.h"
#include "routing/attempt_result.h"
#include "routing/fan_out_action.h"
#include "routing/partition_map.h"
#include "routing/query_answer.h"
#include "routing/query_request.h"

namespace limpetlever {

class replica_selector;
class service_records;
struct routing_snapshot;

/**
 * The state of one query over all shards of one index version. Decides which attempts to send, when
 * to retry or hedge, and when to answer. Does no I/O and reads no clock: the caller passes the time
 * and executes the returned actions.
 */
class fan_out {
 public:
  /**
   * The query uses `map` until it ends or restarts on another version. The map is shared, because
   * the cost of a copy per query would grow with the number of replicas. `selector` and `services`
   * must outlive the query.
   */
  fan_out(query_request request,
          std::shared_ptr<const partition_map> map,
          replica_selector& selector,
          service_records& services);

  /** Sets the newest snapshot, from which a restart takes its version; without one, no restart. */
  void SetSnapshot(std::shared_ptr<const routing_snapshot> snapshot) {
    snapshot_ = std::move(snapshot);
  }

  /** Starts the query and returns the first attempt at each shard. */
  std::vector<fan_out_action> Start(instant now);

  /** Processes a result. One that belongs to no open attempt is ignored and counted as late. */
  std::vector<fan_out_action> OnResult(const attempt_result& result, instant now);

  /**
   * Sends hedges that are due, and ends the query at its deadline or once the coverage is enough.
   * To be called at NextTimer().
   */
  std::vector<fan_out_action> OnTimer(instant now);

  /** When OnTimer is due; nullopt once the query is done. */
  std::optional<instant> NextTimer() const;
  bool IsDone() const { return done_; }
  /** The current answer; final once IsDone(). */
  query_answer Answer(instant now) const;
  /** Number of results dropped because they were late, duplicated or matched no open attempt. */
  int dropped_results() const { return late_results_; }
  /** Number of restarts on another index version: 0 or 1. */
  int restarts() const { return restarted_ ? 1 : 0; }
  /** The index version that the query uses. */
  std::int64_t version() const { return map_->version; }

 private:
  struct open_attempt {
    std::string replica;
    std::string service;
    instant sent;
  };
  struct shard_state {
    std::optional<std::string> body;
    std::set<std::string> tried;
    std::map<std::uint32_t, open_attempt> open;
    bool hedged = false;
    bool version_gone = false;
    /** Whether the shard has answered, or has failed and gets no further attempt. */
    bool settled = false;
    std::string reason;
  };
  struct hedge_check {
    instant due;
    std::size_t shard = 0;
    std::uint32_t ordinal = 0;
    auto operator<=>(const hedge_check&) const = default;
  };
  void StartShards(instant now, std::vector<fan_out_action>& actions);
  void Send(std::size_t shard,
            const candidate& replica,
            attempt_purpose purpose,
            instant now,
            std::vector<fan_out_action>& actions);
  bool TryRetry(std::size_t shard,
                const verdict& outcome,
                instant now,
                std::vector<fan_out_action>& actions);
  void TryHedge(const hedge_check& check, instant now, std::vector<fan_out_action>& actions);
  bool HasTimeLeft(const std::string& service, instant now) const;
  void MarkSettled(std::size_t shard);
  bool RestartIfUseful(instant now, std::vector<fan_out_action>& actions);
  int WantedShards() const;
  void FinishIfPossible(instant now, std::vector<fan_out_action>& actions);
  void Finish(instant now, const char* reason, std::vector<fan_out_action>& actions);
  void CancelOpen(std::size_t shard, instant now, std::vector<fan_out_action>& actions);

  const query_request request_;
  std::shared_ptr<const partition_map> map_;
  replica_selector& selector_;
  service_records& services_;
  std::shared_ptr<const routing_snapshot> snapshot_;
  std::vector<shard_state> shards_;
  std::set<hedge_check> hedge_checks_;
  instant started_;
  instant deadline_;
  /** From this time on the query ends once the wanted coverage is reached. */
  instant early_finish_from_;
  bool done_ = false;
  bool restarted_ = false;
  /** Backend servers that closed the connection while they ran an attempt of this query. */
  std::set<std::string> lost_servers_;
  std::set<std::size_t> lost_shards_;
  /** Whether a shard has no answer and one of its replicas had dropped the index version. */
  bool version_gone_ = false;
  /** Whether an attempt of any version, including those before a restart, may have run. */
  bool may_have_run_ = false;
  std::error_code last_error_;
  std::uint32_t next_ordinal_ = 0;
  int answered_ = 0;
  int settled_ = 0;
  int attempts_ = 0;
  int hedges_ = 0;
  int retries_ = 0;
  int late_results_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_ROUTING_FAN_OUT_H_
