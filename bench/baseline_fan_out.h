#ifndef LIMPETLEVER_BENCH_BASELINE_FAN_OUT_H_
#define LIMPETLEVER_BENCH_BASELINE_FAN_OUT_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "routing/attempt_result.h"
#include "routing/fan_out_action.h"
#include "routing/partition_map.h"
#include "routing/query_request.h"

namespace limpetlever {

/**
 * The baseline of the routing measures: sends each sub-query to a random replica, in its own data
 * centre if one is left there. Ignores load, retry budgets and the operators' table.
 */
class baseline_fan_out {
 public:
  struct policy {
    /** Retry every failure until no untried replica is left. */
    bool retry = false;
    /** Send every sub-query to two replicas at once. */
    bool send_twice = false;
  };
  baseline_fan_out(query_request request,
                   const partition_map& map,
                   policy options,
                   std::string own_data_centre,
                   random_source& random);

  std::vector<fan_out_action> Start(instant now);
  std::vector<fan_out_action> OnResult(const attempt_result& result, instant now);
  std::vector<fan_out_action> OnTimer(instant now);
  std::optional<instant> NextTimer() const { return deadline_; }
  bool IsDone() const { return done_shards_ == shards_.size(); }
  bool IsComplete() const { return answered_shards_ == shards_.size(); }
  int attempts() const { return attempts_; }

 private:
  struct shard_state {
    std::set<std::string> tried;
    int in_flight = 0;
    bool is_done = false;
  };
  /** Adds an attempt at a replica that was not tried yet; false if none is left. */
  bool Send(std::size_t shard, std::vector<fan_out_action>& actions);

  const query_request request_;
  const partition_map& map_;
  const policy policy_;
  const std::string own_data_centre_;
  random_source& random_;
  std::vector<shard_state> shards_;
  instant deadline_;
  std::size_t done_shards_ = 0;
  std::size_t answered_shards_ = 0;
  int attempts_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_BENCH_BASELINE_FAN_OUT_H_
