#include "server/submission_service.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <future>
#include <utility>

#include "base/errc.h"
#include "base/hash.h"
#include "events/event_log.h"
#include "ownership/lease_limits.h"
#include "routing/routing_snapshot.h"
#include "server/claim_partition.h"
#include "server/cluster_state.h"
#include "server/running_submission.h"
#include "transport/key_value_client.h"
#include "transport/monotonic_clock.h"
#include "transport/peer_codec.h"
#include "transport/peer_links.h"

namespace limpetlever {

namespace {

constexpr int kDispatchThreads = 64;
constexpr duration kLookupTimeLimit = std::chrono::seconds(3);

submission_answer MakeRefusedAnswer(std::error_code error, const std::string& detail) {
  return {.outcome = NotRun(error, detail), .body = {}, .claim = {}};
}

}  // namespace

submission_service::submission_service(cluster_state& state,
                                       key_value_client& store,
                                       event_log& events,
                                       peer_links& links,
                                       attempt_sender send)
    : state_(state),
      store_(store),
      events_(events),
      links_(links),
      send_(std::move(send)),
      process_id_(state.self().name + "/" + std::to_string(state.self().incarnation)),
      next_attempt_(CombineHashes(Hash(process_id_), Hash("submission"))),
      pool_(std::make_unique<boost::asio::thread_pool>(kDispatchThreads)) {}

submission_service::~submission_service() {
  pool_->join();
  // The callback of a claim may still post to the pool, so the pool must outlive the partitions.
  partitions_.clear();
}

claim_partition& submission_service::FindOrCreatePartition(const std::string& journal_key) {
  const int partition = ClaimPartitionIndex(journal_key);
  const std::lock_guard lock(mutex_);
  std::unique_ptr<claim_partition>& entry = partitions_[partition];
  if (!entry) {
    const std::uint64_t seed =
        CombineHashes(Hash(process_id_), static_cast<std::uint64_t>(partition));
    entry = std::make_unique<claim_partition>(partition, process_id_, seed, store_, events_);
  }
  return *entry;
}

std::vector<std::string> submission_service::ReplicasFor(const std::string& workload,
                                                         const std::string& key) {
  const auto routing = state_.routing();
  const auto maps = routing->workloads.find(workload);
  const partition_map* map =
      maps == routing->workloads.end() ? nullptr : ChooseVersion(maps->second);
  if (map == nullptr) {
    return {};
  }
  std::vector<candidate> candidates = map->shards[Hash(key) % map->shards.size()];
  const std::string& own_data_centre = state_.self().data_centre;
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&own_data_centre](const candidate& a, const candidate& b) {
                     return (a.data_centre == own_data_centre) > (b.data_centre == own_data_centre);
                   });
  std::vector<std::string> replicas;
  for (const candidate& replica : candidates) {
    replicas.push_back(replica.replica);
  }
  return replicas;
}

submission_answer submission_service::Submit(const std::string& workload,
                                             const std::string& key,
                                             const std::string& body,
                                             duration time_limit) {
  const auto view = state_.view();
  const std::string partition_key = PartitionKey(ClaimPartitionIndex(JournalKey(workload, key)));
  const view_member* writer = FindOwner(*view, partition_key, "");
  if (writer == nullptr || writer->name == state_.self().name) {
    return RunLocally(workload, key, body, time_limit);
  }
  const auto host = state_.FindMember(writer->name);
  if (!host || host->state != member_state::alive) {
    return RunLocally(workload, key, body, time_limit);
  }
  peer::SubmitRequest request;
  request.workload = workload;
  request.key = key;
  request.body = body;
  request.time_limit_ms = static_cast<std::int32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(time_limit).count());
  const auto reply = links_.Submit(host->peer_address, request);
  if (reply) {
    return {.outcome = ToVerdict(reply->state, reply->error, reply->detail),
            .body = reply->body,
            .claim = reply->claim};
  }
  if (reply.error().code == errc::peer_unreachable) {
    return RunLocally(workload, key, body, time_limit);
  }
  return {
      .outcome = MayHaveRun(reply.error().code, reply.error().message), .body = {}, .claim = {}};
}

submission_answer submission_service::RunLocally(const std::string& workload,
                                                 const std::string& key,
                                                 const std::string& body,
                                                 duration time_limit) {
  const submission_request request{
      .workload = workload, .key = key, .body = body, .deadline = MonotonicNow() + time_limit};
  const std::string journal_key = JournalKey(workload, key);
  auto running = std::make_shared<running_submission>(request, ReplicasFor(workload, key));
  bool is_new = false;
  {
    const std::lock_guard lock(mutex_);
    switch (admissions_.Begin(journal_key, SubmissionFingerprint(request))) {
      case running_submissions::admission::refuse:
        return MakeRefusedAnswer(errc::key_reused, "the key is in use with another body");
      case running_submissions::admission::join:
        running = running_.at(journal_key);
        break;
      case running_submissions::admission::start:
        running_[journal_key] = running;
        is_new = true;
        break;
    }
  }
  if (is_new) {
    std::vector<submission_action> actions;
    {
      const std::lock_guard lock(running->mutex);
      actions = running->plan.Start();
    }
    Execute(running, actions);
  }
  const submission_answer answer = Await(running);
  events_.Record(event_number::submission_finished, {{"workload", workload},
                                                     {"key", key},
                                                     {"state", ToString(answer.outcome.state)},
                                                     {"claim", answer.claim}});
  return answer;
}

submission_answer submission_service::Await(const std::shared_ptr<running_submission>& running) {
  std::unique_lock lock(running->mutex);
  while (!running->plan.answer()) {
    const instant due = running->plan.NextTimer().value_or(MonotonicNow());
    if (MonotonicNow() >= due) {
      const auto actions = running->plan.OnTimer(MonotonicNow());
      lock.unlock();
      Execute(running, actions);
      lock.lock();
      continue;
    }
    running->changed.wait_until(lock, due);
  }
  const submission_answer answer = *running->plan.answer();
  lock.unlock();
  RemoveIfFinished(running);
  return answer;
}

void submission_service::RemoveIfFinished(const std::shared_ptr<running_submission>& running) {
  {
    const std::lock_guard lock(running->mutex);
    if (!running->plan.IsFinished()) {
      return;
    }
  }
  const submission_request& request = running->plan.request();
  const std::string journal_key = JournalKey(request.workload, request.key);
  const std::lock_guard lock(mutex_);
  const auto found = running_.find(journal_key);
  if (found != running_.end() && found->second == running) {
    running_.erase(found);
    admissions_.End(journal_key);
  }
}

void submission_service::Execute(const std::shared_ptr<running_submission>& running,
                                 const std::vector<submission_action>& actions) {
  const submission_request& request = running->plan.request();
  const std::string journal_key = JournalKey(request.workload, request.key);
  claim_partition& partition = FindOrCreatePartition(journal_key);
  for (const submission_action& action : actions) {
    switch (action.kind) {
      case submission_action::action_kind::claim: {
        const std::uint64_t ticket = partition.RequestClaim(
            journal_key, SubmissionFingerprint(request),
            [this, running](const claim_decision& decision) {
              std::vector<submission_action> next;
              {
                const std::lock_guard lock(running->mutex);
                next = running->plan.OnDecision(decision, MonotonicNow(), WallNow());
              }
              Execute(running, next);
              RemoveIfFinished(running);
            });
        const std::lock_guard lock(running->mutex);
        running->ticket = ticket;
        break;
      }
      case submission_action::action_kind::abandon: {
        std::uint64_t ticket = 0;
        {
          const std::lock_guard lock(running->mutex);
          ticket = running->ticket;
        }
        partition.Abandon(ticket);
        break;
      }
      case submission_action::action_kind::dispatch:
        boost::asio::post(*pool_, [this, running, action] { Dispatch(running, action); });
        break;
      case submission_action::action_kind::record:
        partition.RecordOutcome(action.record, action.state, action.body);
        break;
      case submission_action::action_kind::answer:
        running->changed.notify_all();
        break;
    }
  }
}

void submission_service::Dispatch(const std::shared_ptr<running_submission>& running,
                                  const submission_action& action) {
  const submission_request& request = running->plan.request();
  const duration time_left = request.deadline - MonotonicNow();
  attempt_request attempt;
  attempt.id = {
      .query = next_attempt_++, .shard = 0, .ordinal = static_cast<std::uint32_t>(action.ordinal)};
  attempt.replica = action.replica;
  attempt.workload = request.workload;
  attempt.body = std::make_shared<const std::string>(request.body);
  attempt.time_limit = std::min(time_left, lease_limits{}.max_attempt_time);
  attempt.urgent = true;
  attempt.fingerprint = SubmissionFingerprint(request);
  attempt.key = request.key;
  events_.Record(event_number::claim_committed, {{"workload", request.workload},
                                                 {"key", request.key},
                                                 {"claim", action.record.claim_id},
                                                 {"attempt", ToString(attempt.id)}});
  const attempt_result outcome = send_(std::move(attempt));
  std::vector<submission_action> next;
  {
    const std::lock_guard lock(running->mutex);
    next = running->plan.OnAttemptOutcome(action.ordinal, outcome.outcome, outcome.body,
                                          MonotonicNow(), WallNow());
  }
  Execute(running, next);
  RemoveIfFinished(running);
}

result<claim_record> submission_service::Lookup(const std::string& workload,
                                                const std::string& key) {
  const auto promise = std::make_shared<std::promise<claim_decision>>();
  auto future = promise->get_future();
  const std::string journal_key = JournalKey(workload, key);
  FindOrCreatePartition(journal_key)
      .RequestLookup(journal_key,
                     [promise](const claim_decision& decision) { promise->set_value(decision); });
  if (future.wait_for(kLookupTimeLimit) != std::future_status::ready) {
    return failure{errc::store_unavailable, "the journal did not answer within the time limit"};
  }
  const claim_decision decision = future.get();
  if (decision.kind == claim_decision::decision_kind::unavailable) {
    return failure{errc::store_unavailable, "the journal cannot be read"};
  }
  if (!decision.record || decision.record->state == claim_state::released) {
    return failure{errc::not_found, "the key is not claimed"};
  }
  return *decision.record;
}

std::size_t submission_service::pending() const {
  const std::lock_guard lock(mutex_);
  std::size_t count = running_.size();
  for (const auto& [number, partition] : partitions_) {
    count += partition->pending();
  }
  return count;
}

}  // namespace limpetlever
