#ifndef LIMPETLEVER_QUERY_QUERY_PLAN_H_
#define LIMPETLEVER_QUERY_QUERY_PLAN_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/errc.h"
#include "base/time_types.h"
#include "query/asked_servers.h"
#include "query/attempt_failure.h"
#include "query/query_action.h"
#include "query/query_outcome.h"
#include "query/replica_choice.h"
#include "replicas/exclusion.h"

namespace limpetlever {

class retry_budget;
class route_table;
struct query_state;
struct replica_record;
struct replica_reply;
struct route;

/**
 * Decides, for one query of a caller, which backend servers to ask, when to hedge or retry, and
 * when to answer. A route to a single server is treated as one shard whose answer is passed on
 * unchanged. The class reads no clock and owns no socket: its user passes in the current time and
 * carries out the actions that are appended to `actions`.
 */
class query_plan {
 public:
  using action_list = std::vector<query_action>;

  /**
   * `matched_route` must be an element of `table`. The plan holds the table until the query ends,
   * so that all parts come from one version of the configuration. `deadline` is when the caller
   * stops waiting.
   */
  query_plan(std::shared_ptr<const route_table> table,
             const route& matched_route,
             query_state& state,
             instant started,
             instant deadline);

  /** Sends the first attempts, or fails the query if too few shards have a usable server. */
  void Start(instant now, action_list& actions);
  /** The complete answer to `attempt` has arrived. */
  void OnReply(std::uint32_t attempt, replica_reply reply, instant now, action_list& actions);
  /** `attempt` ended without a valid answer. */
  void OnFailure(std::uint32_t attempt, attempt_failure failure, instant now, action_list& actions);
  /**
   * The server of `attempt`, which was not sent yet, is no longer in use. Sends the request to
   * another server of the shard and returns true, or returns false if there is none. May be called
   * again later: a server may have been added, or may have recovered.
   */
  bool Move(std::uint32_t attempt, instant now, action_list& actions);
  /** This host cancelled `attempt` before its answer arrived. */
  void OnCancelled(std::uint32_t attempt, instant now);
  /** Ends the query with what has been answered, since this host is about to stop. */
  void OnHostStopping(instant now, action_list& actions);
  /** Sends due hedges and ends the query when it is due; to be called at NextTimer(). */
  void OnTimer(instant now, action_list& actions);
  /**
   * Allows no further attempt: the request crashes the servers that run it. Open attempts may still
   * answer.
   */
  void ForbidRetries() { may_retry_ = false; }
  /**
   * Sets the function that tells whether the request of an open attempt was written to its server,
   * or is about to be: it may be asked about an attempt whose action was not carried out yet.
   * Without one, each open attempt counts as written.
   */
  void SetSentCheck(std::function<bool(std::uint32_t attempt)> was_sent) {
    was_sent_ = std::move(was_sent);
  }
  /** When OnTimer must be called next; nullopt once the query has ended. */
  std::optional<instant> NextTimer() const;

  bool IsDone() const { return is_done_; }
  /** Valid once IsDone(). The caller may move the parts and the reply out of it. */
  query_outcome& outcome() { return outcome_; }
  const route& matched_route() const { return route_; }
  std::int64_t config_version() const;
  instant deadline() const { return deadline_; }
  int attempts() const { return static_cast<int>(attempts_.size()); }
  int hedges() const { return hedges_; }
  int retries() const { return retries_; }
  /** Number of attempts sent to servers in other data centres. */
  int remote_attempts() const { return remote_attempts_; }
  /** Number of hedges and retries that the retry budget did not allow. */
  int budget_refusals() const { return budget_refusals_; }
  /** Number of shards that were not asked because they were expected to answer too late. */
  int omitted_shards() const { return omitted_shards_; }
  /** Number of shards that were not asked because their servers limit requests or want a pause. */
  int limited_shards() const { return limited_shards_; }

 private:
  struct attempt_state {
    std::size_t shard = 0;
    std::shared_ptr<replica_record> target;
    instant sent;
    bool is_open = true;
  };
  struct shard_state {
    std::string service;
    asked_servers asked;
    int open_attempts = 0;
    int sends = 0;
    bool is_answered = false;
    /** The shard has no answer, and no further attempt will be made for it. */
    bool is_lost = false;
    bool is_hedged = false;
    /** When to send a hedge if the shard has not answered. */
    instant hedge_at;
  };

  void ChooseServices();
  using exclusion_counts = std::array<int, kExclusionCount>;

  /** Whether a server of the shard may be sent a request now. */
  bool MayAsk(const shard_state& shard, instant now) const;
  /** When enough shards will have a server that may be sent a request; nullopt: not foreseeable. */
  std::optional<instant> NextPossibleStart(instant now) const;
  /** Leaves out shards that are expected to be late, at most as many as the answer may lack. */
  void OmitLateShards(int possible, instant now);
  /** Expected latency of the fastest usable server of a shard. */
  duration ExpectedShardLatency(const shard_state& shard, instant now) const;
  /** Sends an attempt to the best server that may be asked; returns false if there is none. */
  bool Send(std::size_t shard, send_reason reason, instant now, action_list& actions);
  void SendTo(std::size_t shard,
              std::shared_ptr<replica_record> target,
              send_reason reason,
              instant now,
              action_list& actions);
  /** Whether the query may be sent to a server of the shard that it was not sent to before. */
  bool MayAskAnother(const shard_state& shard) const;
  /** A server that the query has not asked yet; nullptr if there is none or no more are allowed. */
  std::shared_ptr<replica_record> ChooseUntried(const shard_state& shard, instant now);
  /**
   * A server that has already refused or failed this query. If `only_serving`, it has also answered
   * a request since it last refused one.
   */
  std::shared_ptr<replica_record> ChooseAgain(const shard_state& shard,
                                              bool only_serving,
                                              instant now);
  void Retry(std::size_t shard, bool reached_server, instant now, action_list& actions);
  void Hedge(std::size_t shard, instant now, action_list& actions);
  void RecordAnswer(std::size_t shard, replica_reply reply);
  void MarkLost(std::size_t shard);
  void FinishIfPossible(instant now, action_list& actions);
  void Finish(action_list& actions);
  void Fail(errc reason, std::string detail, instant now, action_list& actions);
  /** Whether a server may have run the request. */
  bool MayHaveBeenRun() const;
  void EndQuery(action_list& actions);
  void CloseAttempt(attempt_state& item);
  int NeededParts() const;
  retry_budget& FindBudget(const shard_state& shard);

  std::shared_ptr<const route_table> table_;
  const route& route_;
  query_state& state_;
  instant started_;
  instant deadline_;
  /** From this time on the query is answered as soon as it has enough parts. */
  instant answer_by_;
  replica_choice_options choice_options_;
  std::vector<shard_state> shards_;
  std::vector<attempt_state> attempts_;
  query_outcome outcome_;
  /** Answers of the shards, one each, in the order of arrival. */
  std::vector<replica_reply> parts_;
  /** The last answer of a server of an unsharded route that ran the request and failed. */
  std::optional<replica_reply> last_failure_;
  std::function<bool(std::uint32_t)> was_sent_;
  bool may_have_run_ = false;
  bool may_retry_ = true;
  bool is_done_ = false;
  int answered_ = 0;
  int lost_ = 0;
  int hedges_ = 0;
  int remote_attempts_ = 0;
  int retries_ = 0;
  int budget_refusals_ = 0;
  int omitted_shards_ = 0;
  int limited_shards_ = 0;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_QUERY_PLAN_H_
