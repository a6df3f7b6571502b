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

constexpr int kSideThreads = 16;
// A shared latency changes only beyond this share, so that its drift makes no messages to all
// hosts.
constexpr double kReferenceLatencyDrift = 0.05;
// One failed poll may be a full connection table; after two the server gets no new work.
constexpr int kPollsUntilUnusable = 2;
// A request that crashed a server may be sent again at once, so its death must be known before the
// next ordinary poll. A process that ends closes its port some milliseconds after its connections.
constexpr int kPollsAfterLoss = 4;
constexpr duration kPollAfterLossPeriod = std::chrono::milliseconds(25);

/**
 * The limit as other hosts learn of it, rounded down to a power of two: it is a hint, and a growing
 * limit must not make a message to all hosts at each step.
 */
int RoundedLimit(int limit) {
  int rounded = 1;
  while (rounded * 2 <= limit) {
    rounded *= 2;
  }
  return limit <= 0 ? 0 : rounded;
}

/**
 * A query runs on all shards with one fingerprint, but it may crash the servers of one shard only.
 * With the shard in it, the success of another shard does not clear the marks.
 */
std::uint64_t ShardFingerprint(const attempt_request& attempt) {
  const bool is_submission = !attempt.key.empty();
  return is_submission ? attempt.fingerprint : CombineHashes(attempt.fingerprint, attempt.id.shard);
}

/** The lowest latency of a warm replica of each service, which is the most cautious to assume. */
std::map<std::string, duration> UsualOfServices(
    const std::map<std::string, replica_status>& statuses,
    const operator_table& table) {
  std::map<std::string, duration> lowest;
  for (const auto& [address, status] : statuses) {
    const backend_server_row* server = FindBackendServer(table, address);
    if (server != nullptr && status.reference_latency > duration::zero()) {
      const auto known = lowest.emplace(server->service, status.reference_latency).first;
      known->second = std::min(known->second, status.reference_latency);
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
  /** The latency of the warm server as told to all hosts. */
  duration shared_reference_latency{};
};

replica_owner::replica_owner(cluster_state& state,
                             backend_client& backends,
                             event_log& events,
                             host_metrics& metrics,
                             crash_service& crashes,
                             int threads,
                             permission may_use,
                             deliver on_results)
    : state_(state),
      backends_(backends),
      events_(events),
      metrics_(metrics),
      crashes_(crashes),
      may_use_(std::move(may_use)),
      on_results_(std::move(on_results)),
      pool_(std::make_unique<boost::asio::thread_pool>(threads)),
      side_pool_(std::make_unique<boost::asio::thread_pool>(kSideThreads)) {}

replica_owner::~replica_owner() {
  pool_->join();
  side_pool_->join();
}

std::shared_ptr<replica_owner::replica_entry> replica_owner::EntryOf(const std::string& address) {
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
    Offer(coordinator, std::move(attempt));
  }
}

void replica_owner::Offer(const std::string& coordinator, attempt_request attempt) {
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
  const auto entry = EntryOf(attempt.replica);
  {
    const std::lock_guard lock(mutex_);
    if (!open_.emplace(attempt.id, open_attempt{coordinator, entry}).second) {
      // A duplicated message; the first one is answered.
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
  const auto node = open_.extract(id);
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
  // The process may have been paused since the attempt was admitted.
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
  const bool is_second_loss = reply.outcome.error == errc::connection_lost &&
                              crashes_.IsCrashSuspect(attempt.fingerprint, entry->address);
  attempt_result result{
      .id = attempt.id,
      .replica = attempt.replica,
      // A retry would reach a third server before the second death is known.
      .outcome = is_second_loss ? MayHaveRun(errc::request_blocked) : reply.outcome,
      .body = std::move(reply.body),
      .snapshot_version = reply.snapshot_version,
      .elapsed = reply.elapsed,
      .limit = 0,
      .in_flight = 0};
  replica_decision decision;
  {
    const std::lock_guard lock(entry->mutex);
    // The instance comes first: an answer of a new instance is no evidence about the former one.
    entry->decisions.OnInstanceId(reply.instance_id, MonotonicNow());
    decision =
        entry->decisions.OnFinished(attempt.id, reply.outcome, reply.elapsed, MonotonicNow());
    result.limit = entry->decisions.limit();
    result.in_flight = entry->decisions.in_flight();
  }
  --in_flight_;
  ReportServerCrash(entry);
  if (reply.outcome.error == errc::connection_lost) {
    boost::asio::post(*side_pool_, [this, entry] { PollAfterLoss(entry); });
  }
  on_results_(TakeCoordinator(attempt.id), {std::move(result)});
  Apply(entry, std::move(decision));
}

void replica_owner::ReportServerCrash(const std::shared_ptr<replica_entry>& entry) {
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
      const auto found = open_.find(id);
      if (found == open_.end()) {
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
      boost::asio::post(*side_pool_, [this, entry, id] { backends_.Cancel(entry->address, id); });
    }
  }
}

void replica_owner::SuggestLatencies() {
  std::vector<std::shared_ptr<replica_entry>> unknown;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [address, entry] : entries_) {
      const std::lock_guard entry_lock(entry->mutex);
      if (!entry->decisions.has_reference_latency()) {
        unknown.push_back(entry);
      }
    }
  }
  if (unknown.empty()) {
    return;
  }
  const auto statuses = state_.statuses();
  const auto services = UsualOfServices(statuses, *state_.table());
  for (const auto& entry : unknown) {
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
    const auto entry = EntryOf(server.address);
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
    boost::asio::post(*side_pool_, [this, entry] { Poll(entry); });
  }
  const std::lock_guard lock(mutex_);
  std::erase_if(entries_, [this, &owned](const auto& item) {
    const std::lock_guard entry_lock(item.second->mutex);
    const bool is_lost = !owned.contains(item.first) && item.second->decisions.in_flight() == 0 &&
                         item.second->decisions.waiting() == 0;
    if (is_lost) {
      backends_.Forget(item.first);
    }
    return is_lost;
  });
}

void replica_owner::PollAfterLoss(const std::shared_ptr<replica_entry>& entry) {
  for (int poll = 0; poll < kPollsAfterLoss; ++poll) {
    Poll(entry);
    std::this_thread::sleep_for(kPollAfterLossPeriod);
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
      // A failed poll says nothing about draining.
      if (report) {
        entry->decisions.Resume(now);
      }
      decision = entry->decisions.RefuseLate(now);
    }
  }
  ReportServerCrash(entry);
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
    if (!entry->report && entry->failed_polls < kPollsUntilUnusable) {
      continue;  // Not polled yet: a former owner's report stays in force.
    }
    replica_status status{.address = entry->address,
                          .instance_id = {},
                          .usable = false,
                          .limit = RoundedLimit(entry->decisions.limit()),
                          .cold = entry->decisions.cold(),
                          .versions = {}};
    if (entry->report) {
      status.instance_id = entry->report->instance_id;
      status.usable = !entry->report->draining && entry->failed_polls < kPollsUntilUnusable &&
                      may_use_(entry->address);
      status.versions = entry->report->versions;
    }
    const duration warm = entry->decisions.warm_latency();
    const auto drift = std::chrono::duration<double>(warm - entry->shared_reference_latency);
    if (warm > duration::zero() &&
        std::abs(drift.count()) >
            kReferenceLatencyDrift *
                std::chrono::duration<double>(entry->shared_reference_latency).count()) {
      entry->shared_reference_latency = warm;
    }
    status.reference_latency = entry->shared_reference_latency;
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
