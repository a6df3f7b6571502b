#include "baseline_fan_out.h"

#include <utility>

namespace limpetlever {

baseline_fan_out::baseline_fan_out(query_request request,
                                   const partition_map& map,
                                   policy options,
                                   std::string own_data_centre,
                                   random_source& random)
    : request_(std::move(request)),
      map_(map),
      policy_(options),
      own_data_centre_(std::move(own_data_centre)),
      random_(random),
      shards_(map.shards.size()) {}

bool baseline_fan_out::Send(std::size_t shard, std::vector<fan_out_action>& actions) {
  shard_state& state = shards_[shard];
  std::vector<const candidate*> local;
  std::vector<const candidate*> remote;
  for (const candidate& replica : map_.shards[shard]) {
    if (!state.tried.contains(replica.replica)) {
      (replica.data_centre == own_data_centre_ ? local : remote).push_back(&replica);
    }
  }
  const std::vector<const candidate*>& pool = local.empty() ? remote : local;
  if (pool.empty()) {
    return false;
  }
  const candidate& chosen = *pool[random_.Below(pool.size())];
  state.tried.insert(chosen.replica);
  ++state.in_flight;
  attempt_request attempt;
  attempt.id = {.query = request_.id,
                .shard = static_cast<std::uint32_t>(shard),
                .ordinal = static_cast<std::uint32_t>(attempts_++)};
  attempt.replica = chosen.replica;
  actions.push_back({.kind = fan_out_action::action_kind::send, .attempt = std::move(attempt)});
  return true;
}

std::vector<fan_out_action> baseline_fan_out::Start(instant now) {
  deadline_ = now + request_.time_limit;
  std::vector<fan_out_action> actions;
  for (std::size_t shard = 0; shard < shards_.size(); ++shard) {
    Send(shard, actions);
    if (policy_.send_twice) {
      Send(shard, actions);
    }
  }
  return actions;
}

std::vector<fan_out_action> baseline_fan_out::OnResult(const attempt_result& result,
                                                       instant /*now*/) {
  std::vector<fan_out_action> actions;
  shard_state& state = shards_[result.id.shard];
  --state.in_flight;
  if (state.is_done) {
    return actions;
  }
  if (result.outcome.state == run_state::ran) {
    ++answered_shards_;
  } else if (state.in_flight > 0 || (policy_.retry && Send(result.id.shard, actions))) {
    return actions;
  }
  state.is_done = true;
  ++done_shards_;
  return actions;
}

std::vector<fan_out_action> baseline_fan_out::OnTimer(instant now) {
  if (now >= deadline_) {
    done_shards_ = shards_.size();
  }
  return {};
}

}  // namespace limpetlever
