#include "server/replica_owner.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <cmath>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include "base/errc.h"
#include "base/hash.h"
#include "events/event_log.h"
#include "server/cluster_state.h"
#include "server/crash_service.h"
#include "server/host_metrics.h"
#include "transport/backend_client.h"
#include "transport/backend_report.h"
#include "transport/monotonic_clock.h"

namespace limpetlever {

namespace {

constexpr int kControlThreads = 16;
// Minimum relative change before a new latency is published, because each change is sent to all
// hosts.
constexpr double kMinLatencyChangeRatio = 0.05;
// A single poll may fail because the server's connection table is full; after two failures the
// server gets no new work.
constexpr int kFailedPollsUntilUnusable = 2;
// A request that crashed a server may be retried at once, so the crash must be detected before the
// next periodic poll. An exiting process closes its port some milliseconds after its connections,
// so one immediate poll is not enough.
constexpr int kPollsAfterConnectionLoss = 4;
constexpr duration kPollAfterConnectionLossPeriod = std::chrono::milliseconds(25);

/**
 * The limit as published to other hosts, rounded down to a power of two. It is only a hint, and a
 * growing limit must not cause a message to all hosts at every step.
 */
int RoundedLimit(int limit) {
  int rounded = 1;
  while (rounded * 2 <= limit) {
    rounded *= 2;
  }
  return limit <= 0 ? 0 : rounded;
}

/**
 * A query has the same fingerprint on all shards but may crash the servers of only one of them.
 * Including the shard keeps a success on another shard from clearing the crash marks. A submission
 * keeps its fingerprint.
 */
std::uint64_t ShardFingerprint(const attempt_request& attempt) {
  const bool is_submission = !attempt.key.empty();
  return is_submission ? attempt.fingerprint : CombineHashes(attempt.fingerprint, attempt.id.shard);
}

/**
 * The lowest published latency of the warm replicas of each service. Of the known latencies it is
 * the most cautious assumption for a replica without one.
 */
std::map<std::string, duration> LowestLatencyByService(
    const std::map<std::string, replica_status>& statuses,
    const operator_table& table) {
  std::map<std::string, duration> lowest;
  for (const auto& [address, status] : statuses) {
    const backend_server_row* server = FindBackendServer(table, address);
    if (server != nullptr && status.reference_latency > duration::zero()) {
      const auto entry = lowest.emplace(server->service, status.reference_latency).first;
      entry->second = std::min(entry->second, status.reference_latency);
    }
  }
  return lowest;
}

}  // namespace

struct replica_owner::replica_entry {
  replica_entry(const backend_server_row& row, int slots)
      : address(row.address),
        service(row.service),
        data_centre(row.data_centre),
        decisions(row.address, slots) {}

  const std::string address;
  const std::string service;
  const std::string data_centre;
  mutable std::mutex mutex;
  owned_replica decisions;
  std::optional<backend_report> report;
  int failed_polls = 0;
  bool is_polling = false;
  std::string recorded_state;
  /** Latency of the warm server as last published to all hosts. */
  duration published_latency{};
};

replica_owner::replica_owner(cluster_state& state,
                             backend_client& backends,
                             event_log& events,
                             host_metrics& metrics,
                             crash_service& crashes,
                             int threads,
                             permission_check may_use,
                             result_callback on_results)
    : state_(state),
      backends_(backends),
      events_(events),
      metrics_(metrics),
      crashes_(crashes),
      may_use_(std::move(may_use)),
      on_results_(std::move(on_results)),
      pool_(std::make_unique<boost::asio::thread_pool>(threads)),
      control_pool_(std::make_unique<boost::asio::thread_pool>(kControlThreads)) {}

replica_owner::~replica_owner() {
  pool_->join();
  control_pool_->join();
}

std::shared_ptr<replica_owner::replica_entry> replica_owner::FindOrCreateEntry(
    const std::string& address) {
  const auto table = state_.table();
  const backend_server_row* server = FindBackendServer(*table, address);
  if (server == nullptr) {
    return nullptr;
  }
  const service_row* service = FindService(*table, server->service);
  const int slots = server->slots > 0 ? server->slots : service->slots;
  const std::lock_guard lock(mutex_);
  std::shared_ptr<replica_entry>& entry = entries_[address];
  if (!entry) {
    entry = std::make_shared<replica_entry>(*server, slots);
  }
  backends_.SetLimits(address, std::chrono::milliseconds(service->connection_cost_ms),
                      static_cast<std::size_t>(service->connections));
  const std::lock_guard entry_lock(entry->mutex);
  entry->decisions.SetSlots(slots);
  return entry;
}

void replica_owner::Refuse(const std::string& coordinator,
                           const attempt_request& attempt,
                           const verdict& outcome) {
  const auto table = state_.table();
  const backend_server_row* server = FindBackendServer(*table, attempt.replica);
  metrics_.OnAttemptRefused(server == nullptr ? "unknown" : server->service,
                            outcome.error.message());
  events_.Record(event_number::attempt_refused, {{"attempt", ToString(attempt.id)},
                                                 {"replica", attempt.replica},
                                                 {"reason", outcome.error.message()}});
  on_results_(coordinator, {attempt_result{.id = attempt.id,
                                           .replica = attempt.replica,
                                           .outcome = outcome,
                                           .body = {},
                                           .snapshot_version = 0,
                                           .elapsed = {},
                                           .limit = 0,
                                           .in_flight = 0}});
}

void replica_owner::Handle(const std::string& coordinator, std::vector<attempt_request> attempts) {
  for (attempt_request& attempt : attempts) {
    Admit(coordinator, std::move(attempt));
  }
}

void replica_owner::Admit(const std::string& coordinator, attempt_request attempt) {
  const auto table = state_.table();
  const backend_server_row* server = FindBackendServer(*table, attempt.replica);
  const auto owner = state_.FindReplicaOwner(attempt.replica);
  if (server == nullptr || !owner || owner->name != state_.self().name) {
    Refuse(coordinator, attempt, NotRun(errc::not_owner));
    return;
  }
  if (IsTakenOut(*table, *server)) {
    Refuse(coordinator, attempt, NotRun(errc::replica_draining));
    return;
  }
  if (!may_use_(attempt.replica)) {
    Refuse(coordinator, attempt, NotRun(errc::lease_lapsed));
    return;
  }
  attempt.fingerprint = ShardFingerprint(attempt);
  if (crashes_.IsBlocked(attempt.fingerprint)) {
    events_.Record(event_number::request_blocked,
                   {{"attempt", ToString(attempt.id)}, {"replica", attempt.replica}});
    Refuse(coordinator, attempt, NotRun(errc::request_blocked));
    return;
  }
  const auto entry = FindOrCreateEntry(attempt.replica);
  {
    const std::lock_guard lock(mutex_);
    if (!open_attempts_.emplace(attempt.id, open_attempt{coordinator, entry}).second) {
      // A duplicate of an attempt that is already open; only the first gets a result.
      return;
    }
  }
  replica_decision decision;
  {
    const std::lock_guard lock(entry->mutex);
    decision = entry->decisions.Offer(std::move(attempt), MonotonicNow());
  }
  Apply(entry, std::move(decision));
}

std::string replica_owner::TakeCoordinator(const attempt_id& id) {
  const std::lock_guard lock(mutex_);
  const auto node = open_attempts_.extract(id);
  return node.empty() ? std::string() : node.mapped().coordinator;
}

void replica_owner::Apply(const std::shared_ptr<replica_entry>& entry, replica_decision decision) {
  for (const refused_attempt& refused : decision.refuse) {
    Refuse(TakeCoordinator(refused.attempt.id), refused.attempt, refused.outcome);
  }
  for (attempt_request& attempt : decision.start) {
    ++in_flight_;
    boost::asio::post(*pool_, [this, entry, attempt = std::move(attempt)] { Run(entry, attempt); });
  }
}

void replica_owner::Run(const std::shared_ptr<replica_entry>& entry,
                        const attempt_request& attempt) {
  backend_reply reply;
  // The process may have been paused since the attempt was admitted, and the lease have expired.
  if (may_use_(entry->address)) {
    metrics_.OnAttemptStarted(entry->service, entry->data_centre);
    events_.Record(event_number::attempt_started,
                   {{"attempt", ToString(attempt.id)}, {"replica", attempt.replica}});
    reply = backends_.Call(attempt);
  } else {
    reply.outcome = NotRun(errc::lease_lapsed);
  }
  if (reply.outcome.state == run_state::ran) {
    crashes_.OnCompleted(attempt.fingerprint);
  } else if (reply.outcome.error == errc::connection_silent) {
    events_.Record(event_number::connection_silent,
                   {{"attempt", ToString(attempt.id)}, {"replica", attempt.replica}});
  } else if (reply.outcome.error == errc::malformed_answer) {
    events_.Record(event_number::malformed_answer, {{"attempt", ToString(attempt.id)},
                                                    {"replica", attempt.replica},
                                                    {"cause", reply.outcome.detail}});
  }
  const bool is_second_crash_suspect = reply.outcome.error == errc::connection_lost &&
                                       crashes_.IsCrashSuspect(attempt.fingerprint, entry->address);
  attempt_result result{
      .id = attempt.id,
      .replica = attempt.replica,
      // Blocked at once: a retry would reach a third server before the second crash is detected.
      .outcome = is_second_crash_suspect ? MayHaveRun(errc::request_blocked) : reply.outcome,
      .body = std::move(reply.body),
      .snapshot_version = reply.snapshot_version,
      .elapsed = reply.elapsed,
      .limit = 0,
      .in_flight = 0};
  replica_decision decision;
  {
    const std::lock_guard lock(entry->mutex);
    // Update the instance ID first: the reply of a new instance does not describe the former one.
    entry->decisions.OnInstanceId(reply.instance_id, MonotonicNow());
    decision =
        entry->decisions.OnFinished(attempt.id, reply.outcome, reply.elapsed, MonotonicNow());
    result.limit = entry->decisions.limit();
    result.in_flight = entry->decisions.in_flight();
  }
  --in_flight_;
  ReportStateChange(entry);
  if (reply.outcome.error == errc::connection_lost) {
    boost::asio::post(*control_pool_, [this, entry] { PollAfterConnectionLoss(entry); });
  }
  on_results_(TakeCoordinator(attempt.id), {std::move(result)});
  Apply(entry, std::move(decision));
}

void replica_owner::ReportStateChange(const std::shared_ptr<replica_entry>& entry) {
  std::vector<std::uint64_t> suspects;
  std::string state;
  int limit = 0;
  {
    const std::lock_guard lock(entry->mutex);
    suspects = entry->decisions.TakeCrashSuspects();
    limit = entry->decisions.limit();
    if (entry->decisions.state() != entry->recorded_state) {
      state = entry->decisions.state();
      entry->recorded_state = state;
    }
  }
  if (!state.empty()) {
    events_.Record(
        event_number::replica_state_changed,
        {{"replica", entry->address}, {"state", state}, {"limit", std::to_string(limit)}});
  }
  if (!suspects.empty()) {
    crashes_.OnServerCrash(entry->address, suspects);
  }
}

void replica_owner::Cancel(const std::vector<attempt_id>& ids) {
  for (const attempt_id& id : ids) {
    std::shared_ptr<replica_entry> entry;
    {
      const std::lock_guard lock(mutex_);
      const auto found = open_attempts_.find(id);
      if (found == open_attempts_.end()) {
        continue;
      }
      entry = found->second.entry;
    }
    bool was_waiting = false;
    {
      const std::lock_guard lock(entry->mutex);
      was_waiting = entry->decisions.Cancel(id);
    }
    if (was_waiting) {
      TakeCoordinator(id);
    } else {
      boost::asio::post(*control_pool_,
                        [this, entry, id] { backends_.Cancel(entry->address, id); });
    }
  }
}

void replica_owner::SuggestLatencies() {
  std::vector<std::shared_ptr<replica_entry>> without_latency;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [address, entry] : entries_) {
      const std::lock_guard entry_lock(entry->mutex);
      if (!entry->decisions.has_reference_latency()) {
        without_latency.push_back(entry);
      }
    }
  }
  if (without_latency.empty()) {
    return;
  }
  const auto statuses = state_.statuses();
  const auto services = LowestLatencyByService(statuses, *state_.table());
  for (const auto& entry : without_latency) {
    const auto former = statuses.find(entry->address);
    const auto service = services.find(entry->service);
    const std::lock_guard entry_lock(entry->mutex);
    if (former != statuses.end()) {
      entry->decisions.SuggestReferenceLatency(former->second.reference_latency);
    }
    if (service != services.end()) {
      entry->decisions.SuggestReferenceLatency(service->second);
    }
  }
}

void replica_owner::PollReplicas() {
  SuggestLatencies();
  std::set<std::string> owned;
  for (const backend_server_row& server : state_.OwnedReplicas()) {
    owned.insert(server.address);
    const auto entry = FindOrCreateEntry(server.address);
    if (!entry) {
      continue;
    }
    {
      const std::lock_guard lock(entry->mutex);
      if (entry->is_polling) {
        continue;
      }
      entry->is_polling = true;
    }
    boost::asio::post(*control_pool_, [this, entry] { Poll(entry); });
  }
  const std::lock_guard lock(mutex_);
  std::erase_if(entries_, [this, &owned](const auto& item) {
    const std::lock_guard entry_lock(item.second->mutex);
    const bool is_removable = !owned.contains(item.first) &&
                              item.second->decisions.in_flight() == 0 &&
                              item.second->decisions.waiting() == 0;
    if (is_removable) {
      backends_.RemoveServer(item.first);
    }
    return is_removable;
  });
}

void replica_owner::PollAfterConnectionLoss(const std::shared_ptr<replica_entry>& entry) {
  for (int poll = 0; poll < kPollsAfterConnectionLoss; ++poll) {
    Poll(entry);
    std::this_thread::sleep_for(kPollAfterConnectionLossPeriod);
  }
}

void replica_owner::Poll(const std::shared_ptr<replica_entry>& entry) {
  const auto report = backends_.Status(entry->address);
  const auto table = state_.table();
  const backend_server_row* server = FindBackendServer(*table, entry->address);
  const bool is_out = server == nullptr || IsTakenOut(*table, *server);
  replica_decision decision;
  {
    const std::lock_guard lock(entry->mutex);
    const instant now = MonotonicNow();
    entry->is_polling = false;
    entry->failed_polls = report ? 0 : entry->failed_polls + 1;
    if (!report && report.error().code == errc::connection_failed) {
      entry->decisions.OnConnectionRefused(now);
    }
    if (report) {
      entry->report = *report;
      entry->decisions.OnInstanceId(report->instance_id, now);
    }
    if (is_out || (report && report->draining)) {
      decision = entry->decisions.Drain();
    } else {
      // A failed poll does not show whether the server is draining.
      if (report) {
        entry->decisions.Resume(now);
      }
      decision = entry->decisions.RefuseLate(now);
    }
  }
  ReportStateChange(entry);
  Apply(entry, std::move(decision));
}

std::vector<replica_status> replica_owner::ReplicaStatuses() const {
  std::vector<std::shared_ptr<replica_entry>> entries;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [address, entry] : entries_) {
      entries.push_back(entry);
    }
  }
  std::vector<replica_status> statuses;
  for (const auto& entry : entries) {
    const std::lock_guard lock(entry->mutex);
    if (!entry->report && entry->failed_polls < kFailedPollsUntilUnusable) {
      continue;  // Not polled yet: the former owner's status remains valid.
    }
    replica_status status{.address = entry->address,
                          .instance_id = {},
                          .usable = false,
                          .limit = RoundedLimit(entry->decisions.limit()),
                          .cold = entry->decisions.cold(),
                          .versions = {}};
    if (entry->report) {
      status.instance_id = entry->report->instance_id;
      status.usable = !entry->report->draining && entry->failed_polls < kFailedPollsUntilUnusable &&
                      may_use_(entry->address);
      status.versions = entry->report->versions;
    }
    const duration warm_latency = entry->decisions.warm_latency();
    const auto change = std::chrono::duration<double>(warm_latency - entry->published_latency);
    if (warm_latency > duration::zero() &&
        std::abs(change.count()) >
            kMinLatencyChangeRatio *
                std::chrono::duration<double>(entry->published_latency).count()) {
      entry->published_latency = warm_latency;
    }
    status.reference_latency = entry->published_latency;
    metrics_.SetReplicaLimit(entry->service, entry->data_centre, entry->decisions.limit());
    statuses.push_back(std::move(status));
  }
  return statuses;
}

bool replica_owner::HasInFlight(const std::string& replica) const {
  std::shared_ptr<replica_entry> entry;
  {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(replica);
    if (found == entries_.end()) {
      return false;
    }
    entry = found->second;
  }
  const std::lock_guard lock(entry->mutex);
  return entry->decisions.in_flight() > 0;
}

}  // namespace limpetlever
