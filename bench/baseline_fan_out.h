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
 * The baseline of the routing measures: a random replica, of the own data centre if it has one,
 * without regard to load, budgets or the operators' table.
 */
class baseline_fan_out {
 public:
  struct policy {
    /** Every failure is retried until no replica is left. */
    bool retry = false;
    /** Every sub-query goes to two replicas at once. */
    bool send_twice = false;
  };
  baseline_fan_out(query_request request,
                   const partition_map& map,
                   policy choices,
                   std::string own_data_centre,
                   random_source& random);

  std::vector<fan_out_action> Start(instant now);
  std::vector<fan_out_action> OnResult(const attempt_result& result, instant now);
  std::vector<fan_out_action> OnTimer(instant now);
  std::optional<instant> NextTimer() const { return deadline_; }
  bool IsDone() const { return settled_ == shards_.size(); }
  bool IsComplete() const { return answered_ == shards_.size(); }
  int attempts() const { return attempts_; }

 private:
  struct shard_state {
    std::set<std::string> tried;
    int open = 0;
    bool settled = false;
  };
  bool Send(std::size_t shard, std::vector<fan_out_action>& actions);

  const query_request request_;
  const partition_map& map_;
  const policy policy_;
  const std::string own_data_centre_;
  random_source& random_;
  std::vector<shard_state> shards_;
  instant deadline_;
  std::size_t settled_ = 0;
  std::size_t answered_ = 0;
  int attempts_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_BENCH_BASELINE_FAN_OUT_H_
