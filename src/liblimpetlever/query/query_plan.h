#ifndef LIMPETLEVER_QUERY_QUERY_PLAN_H_
#define LIMPETLEVER_QUERY_QUERY_PLAN_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/errc.h"
#include "base/time_types.h"
#include "query/attempt_failure.h"
#include "query/query_action.h"
#include "query/query_outcome.h"
#include "query/replica_choice.h"

namespace limpetlever {

class retry_budget;
class route_table;
struct query_state;
struct replica_record;
struct replica_reply;
struct route;

/**
 * One request of a caller: which backend servers to ask, when to ask another one, and when to
 * answer. A route to a single server is treated as one shard whose answer is passed on. It reads
 * no clock and has no socket; the caller passes the time and carries out the actions.
 */
class query_plan {
 public:
  using action_list = std::vector<query_action>;

  /**
   * `path` belongs to `table`, which is held until the query ends, so that all parts come from one
   * version. `deadline` is when the caller stops waiting.
   */
  query_plan(std::shared_ptr<const route_table> table,
             const route& path,
             query_state& state,
             instant started,
             instant deadline);

  void Start(instant now, action_list& actions);
  /** An attempt was answered in whole. */
  void OnReply(std::uint32_t attempt, replica_reply reply, instant now, action_list& actions);
  void OnFailure(std::uint32_t attempt, attempt_failure failure, instant now, action_list& actions);
  /** This host gave the attempt up. */
  void OnCancelled(std::uint32_t attempt, instant now);
  /** To be called at NextTimer(). */
  void OnTimer(instant now, action_list& actions);
  /** nullopt once the query has ended. */
  std::optional<instant> NextTimer() const;

  bool IsDone() const { return is_done_; }
  /** Valid once the query is done. The parts and the reply are moved out by the caller. */
  query_outcome& outcome() { return outcome_; }
  const route& path() const { return path_; }
  std::int64_t config_version() const;
  instant deadline() const { return deadline_; }
  int attempts() const { return static_cast<int>(attempts_.size()); }
  int hedges() const { return hedges_; }
  int retries() const { return retries_; }
  /** Attempts at servers of other data centres. */
  int far_attempts() const { return far_attempts_; }
  /** Extra attempts that the budget did not allow. */
  int refused_extras() const { return refused_extras_; }
  /** Shards that were not asked, since they were expected to be late. */
  int omitted() const { return omitted_; }

 private:
  struct attempt_state {
    std::size_t shard = 0;
    std::shared_ptr<replica_record> target;
    instant sent;
    bool is_open = true;
  };
  struct shard_state {
    std::string service;
    std::vector<const replica_record*> tried;
    int open_attempts = 0;
    int sends = 0;
    bool is_answered = false;
    /** No answer and no further attempt to come. */
    bool is_lost = false;
    bool is_hedged = false;
    /** When a hedge is due, if the shard has no answer by then. */
    instant hedge_at;
  };

  void ChooseServices();
  bool HasUsableReplica(const shard_state& shard) const;
  /** Gives up shards that are expected to be late, as far as an answer may lack shards. */
  void OmitLateShards(int possible, instant now);
  /** How long the best server of a shard is expected to take. */
  duration ExpectedLatencyOf(const shard_state& shard, instant now) const;
  bool Send(std::size_t shard, send_reason reason, instant now, action_list& actions);
  std::shared_ptr<replica_record> ChooseTarget(const shard_state& shard, instant now);
  void Retry(std::size_t shard, bool has_arrived, instant now, action_list& actions);
  void Hedge(std::size_t shard, instant now, action_list& actions);
  void TakePart(std::size_t shard, replica_reply reply);
  void MarkLost(std::size_t shard);
  void FinishIfPossible(instant now, action_list& actions);
  void Finish(action_list& actions);
  void Fail(errc reason, std::string detail, action_list& actions);
  void End(action_list& actions);
  void Close(attempt_state& item);
  int NeededParts() const;
  retry_budget& BudgetOf(const shard_state& shard);

  std::shared_ptr<const route_table> table_;
  const route& path_;
  query_state& state_;
  instant started_;
  instant deadline_;
  /** From here on an answer with enough parts does not wait for the others. */
  instant answer_by_;
  choice_terms terms_;
  std::vector<shard_state> shards_;
  std::vector<attempt_state> attempts_;
  query_outcome outcome_;
  /** Parts of the answer by shard, in the order of arrival. */
  std::vector<replica_reply> parts_;
  std::optional<replica_reply> last_refusal_;
  bool may_have_run_ = false;
  bool is_done_ = false;
  int answered_ = 0;
  int lost_ = 0;
  int hedges_ = 0;
  int far_attempts_ = 0;
  int retries_ = 0;
  int refused_extras_ = 0;
  int omitted_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_QUERY_PLAN_H_
