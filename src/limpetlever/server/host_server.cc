#include "server/host_server.h"

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "base/errc.h"
#include "chart/state_chart.h"
#include "membership/member_entry.h"
#include "server/control_loop.h"
#include "server/coordinator.h"
#include "server/crash_service.h"
#include "server/gossip_codec.h"
#include "server/gossip_push.h"
#include "server/host_metrics.h"
#include "server/http_server.h"
#include "server/membership_service.h"
#include "server/ownership_service.h"
#include "server/peer_handler.h"
#include "server/replica_owner.h"
#include "server/submission_service.h"
#include "server/task_runner.h"
#include "server/timer_thread.h"
#include "table/table_json.h"
#include "transport/backend_client.h"
#include "transport/host_list_client.h"
#include "transport/key_value_client.h"
#include "transport/monotonic_clock.h"
#include "transport/peer_links.h"
#include "transport/peer_server.h"

namespace limpetlever {

namespace {

constexpr int kPeerSendThreads = 8;
// Submissions forwarded by other hosts block these threads; enough must stay free for heartbeats.
constexpr int kPeerServeThreads = 96;
// For calls to other hosts and the key-value service; each may block for its time limit.
constexpr int kTaskThreads = 48;
constexpr duration kConnectionCheckPeriod = std::chrono::milliseconds(50);
constexpr duration kMetricsPeriod = std::chrono::seconds(1);
constexpr duration kLifecyclePeriod = std::chrono::milliseconds(100);
constexpr duration kLeavePollPeriod = std::chrono::milliseconds(10);
// Time for the announcement that this host leaves to reach all hosts: two rounds of gossip. The
// view without this host is pushed and arrives sooner.
constexpr duration kAnnouncementPropagation = std::chrono::seconds(1);
constexpr duration kMaxHandoverWait = std::chrono::seconds(5);

member MakeSelf(const host_settings& settings) {
  return {.name = settings.name,
          .region = settings.region,
          .data_centre = settings.data_centre,
          .http_address = settings.http_address,
          .peer_address = settings.peer_address,
          .incarnation = WallNow().time_since_epoch().count(),
          .state = member_state::alive};
}

void LogEvent(const event& entry) {
  std::string fields;
  for (const event_field& field : entry.fields) {
    fields += " " + field.name + "=" + field.value;
  }
  VLOG(1) << "[" << static_cast<int>(entry.number) << "] " << ToString(entry.number) << fields;
}

}  // namespace

host_server::host_server(host_settings settings)
    : settings_(std::move(settings)),
      state_(MakeSelf(settings_)),
      events_(settings_.name, settings_.event_capacity, WallNow, LogEvent),
      metrics_(std::make_unique<host_metrics>()),
      bad_input_(events_, *metrics_),
      data_centres_(events_),
      lifecycle_(EmbeddedChart("host")),
      crashes_(std::make_unique<crash_service>(gossip_, events_)),
      store_(std::make_unique<key_value_client>(settings_.key_value_address)),
      hosts_(std::make_unique<host_list_client>(settings_.host_list_address)),
      backends_(std::make_unique<backend_client>()) {
  links_ = std::make_unique<peer_links>(
      settings_.name, settings_.peer_address, kPeerSendThreads,
      [this](const std::vector<attempt_request>& attempts, const verdict& outcome) {
        queries_->OnSendFailure(attempts, outcome);
      },
      [this](const std::string& peer, const std::string& error) {
        events_.Record(event_number::peer_unreachable, {{"peer", peer}, {"error", error}});
      });
  crashes_->SetPush([this](const auto& entries) { PushToLiveHosts(state_, *links_, entries); });
  queries_ = std::make_unique<coordinator>(state_, events_, *metrics_, *links_,
                                           static_cast<std::uint64_t>(state_.self().incarnation));
  owner_ = std::make_unique<replica_owner>(
      state_, *backends_, events_, *metrics_, *crashes_, settings_.backend_threads,
      [this](const std::string& replica) { return ownership_->MayUse(replica); },
      [this](const std::string& coordinator, std::vector<attempt_result> results) {
        if (coordinator == settings_.peer_address) {
          queries_->OnResults(results);
        } else if (!coordinator.empty()) {
          links_->SendResults(coordinator, std::move(results));
        }
      });
  queries_->SetLocalOwner(*owner_);
  timer_ = std::make_unique<timer_thread>();
  tasks_ = std::make_unique<task_runner>(timer_->timers(), kTaskThreads);
  ownership_ = std::make_unique<ownership_service>(
      state_, *store_, *links_, gossip_, events_, *tasks_,
      [this](const std::string& replica) { return owner_->HasInFlight(replica); });
  membership_ = std::make_unique<membership_service>(state_, *hosts_, *links_, gossip_, events_,
                                                     *tasks_, *ownership_);
  control_loop_ = std::make_unique<control_loop>(*this, *tasks_);
  submissions_ = std::make_unique<submission_service>(
      state_, *store_, events_, *links_,
      [this](attempt_request attempt) { return queries_->RunAttempt(std::move(attempt)); });
  gossip_.SetListener([this](const gossip_entry& entry) { OnGossip(entry); });
}

host_server::~host_server() {
  // First the servers, so that no new requests arrive; then the components that own threads.
  http_server_.reset();
  peer_server_.reset();
  tasks_->Stop();
  submissions_.reset();
  owner_.reset();
  links_.reset();
}

void host_server::Start() {
  peer_server_ = std::make_unique<peer_server>(
      settings_.peer_address, kPeerServeThreads, std::make_shared<peer_handler>(*this),
      [this](const std::string& detail) { bad_input_.Add("bad_frame", "", detail); });
  ownership_->Start();
  membership_->Start();
  control_loop_->Start();
  tasks_->Every(kMetricsPeriod, [this] { UpdateMetrics(); });
  tasks_->Every(kMetricsPeriod, [this] { data_centres_.Advance(MonotonicNow()); });
  tasks_->Every(kLifecyclePeriod, [this] { UpdateLifecycle(); });
  tasks_->Every(kConnectionCheckPeriod, [this] { backends_->CloseSilentConnections(); });
  http_server_ = std::make_unique<http_server>(*this);
  events_.Record(event_number::host_started,
                 {{"http_address", settings_.http_address},
                  {"peer_address", settings_.peer_address},
                  {"incarnation", std::to_string(state_.self().incarnation)}});
}

void host_server::Leave() {
  is_leaving_ = true;
  {
    const std::lock_guard lock(lifecycle_mutex_);
    lifecycle_.Fire("leave");
  }
  events_.Record(event_number::host_leaving, {});
  membership_->Leave();
  ownership_->Leave();
  WaitUntilReplaced(kMaxHandoverWait);
  // Other hosts give out this host's address until the announcement reaches them, and callers may
  // use the address for its lifetime.
  std::this_thread::sleep_for(kAnnouncementPropagation +
                              std::chrono::milliseconds(settings_.address_lifetime_ms));
  while (queries_->running() > 0 || owner_->in_flight() > 0 || submissions_->pending() > 0) {
    std::this_thread::sleep_for(kLeavePollPeriod);
  }
  {
    const std::lock_guard lock(lifecycle_mutex_);
    lifecycle_.Fire("drained");
  }
  events_.Record(event_number::host_stopped, {});
}

std::string host_server::lifecycle_state() const {
  const std::lock_guard lock(lifecycle_mutex_);
  return lifecycle_.state();
}

void host_server::UpdateLifecycle() {
  const bool is_ready = control_loop_->IsReady();
  const bool has_lease = ownership_->MayDispatch();
  const std::lock_guard lock(lifecycle_mutex_);
  if (is_ready && has_lease) {
    lifecycle_.Fire("ready");
    lifecycle_.Fire("lease_renewed");
  } else if (!has_lease) {
    lifecycle_.Fire("lease_lapsed");
  }
}

void host_server::WaitUntilReplaced(duration timeout) {
  const instant end = MonotonicNow() + timeout;
  while (ownership_->IsMember() && MonotonicNow() < end) {
    std::this_thread::sleep_for(kLeavePollPeriod);
  }
}

std::error_code host_server::Readiness() const {
  if (!control_loop_->IsReady()) {
    return errc::not_ready;
  }
  const auto table = state_.table();
  const bool is_out = std::binary_search(table->taken_out_hosts.begin(),
                                         table->taken_out_hosts.end(), settings_.name);
  // A leaving host is no longer a member of the view but still serves callers that hold its
  // address. This is safe, since the owners of the replicas check their own leases.
  if (is_leaving_ || is_out || ownership_->MayDispatch()) {
    return {};
  }
  return errc::lease_lapsed;
}

void host_server::UpdateMetrics() {
  metrics_->SetHostState(static_cast<double>(state_.table()->version),
                         static_cast<double>(state_.view()->epoch),
                         static_cast<double>(state_.members().size()), !Readiness());
  metrics_->SetStoreCalls(static_cast<double>(store_->reads()),
                          static_cast<double>(store_->writes()));
}

void host_server::OnGossip(const gossip_entry& entry) {
  if (entry.key == "table") {
    const auto table = ParseTableJson(entry.value, "table received by gossip");
    if (table && state_.AdoptTable(table.value())) {
      ownership_->OnTable(table.value());
      control_loop_->OnTable(table->version);
      queries_->ApplyCurrentTable();
      data_centres_.SetRows(table->data_centres, MonotonicNow());
      events_.Record(event_number::table_adopted, {{"version", std::to_string(entry.version)}});
    }
  } else if (entry.key.starts_with("member/")) {
    membership_->OnGossipEntry(entry);
  } else if (entry.key == "views/" + settings_.region) {
    if (const auto views = ParseOwnershipViews(entry.value)) {
      ownership_->OnViews(*views);
    }
  } else if (entry.key.starts_with("crash/")) {
    crashes_->OnGossipEntry(entry);
  } else if (entry.key.starts_with("status/")) {
    if (const auto statuses = ParseReplicaStatuses(entry.value)) {
      state_.SetReplicaStatuses(entry.key.substr(std::string("status/").size()), *statuses);
    }
  }
}

}  // namespace limpetlever
