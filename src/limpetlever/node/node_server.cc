#include "node/node_server.h"

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <limits>
#include <optional>
#include <utility>

#include "base/hash.h"
#include "config/route_table.h"
#include "limits/crash_report.h"
#include "membership/host_choice.h"
#include "net/http_text.h"
#include "net/server_connection.h"
#include "platform/directory_codec.h"
#include "replicas/replica.h"
#include "replicas/replica_record.h"

namespace limpetlever {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr const char* kJsonContentType = "application/json";
// Lifetime of a directory answer. Some callers keep an answer three times as long, so a host that
// leaves continues to serve for 3 times 1.2 s.
constexpr duration kDirectoryAnswerLifetime = std::chrono::milliseconds(1200);
constexpr int kMaxLifetimesKept = 3;
// An answer is used for this time; a host that has ended is silent from one moment to the next.
constexpr duration kDirectoryAnswerReuse = std::chrono::milliseconds(200);
// Callers may name data centres that do not exist.
constexpr std::size_t kMaxDirectoryAnswers = 64;
// Reserved within the grace time for the exit of the process.
constexpr duration kExitMargin = std::chrono::milliseconds(400);
// Reserved before that for sending the last answers.
constexpr duration kLastAnswersMargin = std::chrono::milliseconds(200);
constexpr duration kDrainCheckPeriod = std::chrono::milliseconds(100);
constexpr duration kRevisionCheckPeriod = std::chrono::milliseconds(200);
// The source of store changes is chosen again at this period, and when it fails.
constexpr duration kSourceCheckPeriod = std::chrono::seconds(1);
// A starting host's view of the fleet is complete after this time.
constexpr duration kViewConvergenceTime = std::chrono::milliseconds(2500);
// A starting host chooses its source after this time, when the relays have read everything.
constexpr duration kFirstSourceChoice = std::chrono::milliseconds(3200);
// A host that was paused serves again after this time although its source of changes has not
// answered: in an outage of the store all hosts serve with what they know.
constexpr duration kMaxSuspension = std::chrono::milliseconds(500);
// Detects changes of the settings file for which no SIGHUP was sent.
constexpr duration kSettingsCheckPeriod = std::chrono::seconds(2);
// Entries of servers that were held back are looked at at this period.
constexpr duration kHeldBackCheckPeriod = std::chrono::seconds(1);
// A partitioned host keeps to its share of the retry budget for this long: six windows of the
// budget.
constexpr duration kFleetSizeWindow = std::chrono::seconds(60);
// Held for two budget windows only, since the number of hosts in use varies with the choice of
// hosts.
constexpr duration kHostsInUseWindow = std::chrono::seconds(20);
// Fraction of the retry budget for the hosts to which callers are directed, if the fleet has more
// hosts. The other hosts still serve callers that keep an old directory answer.
constexpr double kRetryShareOfHostsInUse = 0.85;
// Descriptors not available to callers' connections: files, the store, peers and backend servers.
constexpr int kReservedDescriptors = 200;
// Share of the memory for incomplete answers of backend servers. The rest is for callers, complete
// answers and the host itself, and for buffers that have just been enlarged.
constexpr std::size_t kAnswerMemoryDivisor = 4;
// Share of the memory for requests of callers and for answers that they have not read.
constexpr std::size_t kCallerMemoryDivisor = 3;
// Memory of the host for each connection of a caller; it holds less, but the kernel holds bytes
// too.
constexpr std::size_t kMemoryPerConnection = 128 * 1024;
// Readiness probes, look-ups and metrics are small requests without a body, answered at once.
constexpr std::size_t kMaxProbeConnections = 16;
constexpr std::size_t kMaxLookUpConnections = 128;
constexpr std::size_t kSmallServerMemory = 2 * 1024 * 1024;
constexpr std::size_t kMaxSmallHeaderBytes = 8 * 1024;
constexpr std::size_t kMaxSmallBodyBytes = 1024;
constexpr duration kGivenUpLogPeriod = std::chrono::seconds(1);
constexpr duration kSilentHostsLogPeriod = std::chrono::seconds(1);

std::string FormatAddress(const socket_address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

std::uint64_t MakeSeed(const node_settings& settings) {
  const auto now = std::chrono::system_clock::now().time_since_epoch().count();
  return CombineHashes(Hash(settings.name), static_cast<std::uint64_t>(now));
}

bool IsAmong(const std::vector<member>& hosts, const std::string& name) {
  return std::any_of(hosts.begin(), hosts.end(),
                     [&name](const member& host) { return host.name == name; });
}

std::vector<std::string> NamesOf(const std::vector<member>& hosts) {
  std::vector<std::string> names;
  names.reserve(hosts.size());
  for (const member& host : hosts) {
    names.push_back(host.name);
  }
  return names;
}

member MakeSelf(const node_settings& settings) {
  const auto now = ReadWallClock();
  return {.name = settings.name,
          .region = settings.region,
          .data_centre = settings.data_centre,
          .http_address = FormatAddress(settings.caller_address),
          .peer_address = FormatAddress(settings.peer_address),
          .incarnation = now.time_since_epoch().count(),
          .processor_share = settings.processor_share};
}

}  // namespace

result<std::unique_ptr<node_server>> node_server::Create(std::string settings_path,
                                                         node_settings settings,
                                                         event_loop::clock_function clock) {
  listeners sockets;
  const auto listen = [](const socket_address& address, socket_handle& into) {
    auto handle = Listen(address);
    if (handle) {
      into = std::move(handle.value());
    }
    return handle ? std::nullopt : std::optional(handle.error());
  };
  for (const auto& [address, into] : {std::pair{&settings.caller_address, &sockets.callers},
                                      std::pair{&settings.readiness_address, &sockets.readiness},
                                      std::pair{&settings.metrics_address, &sockets.metrics},
                                      // The same address takes TCP connections and datagrams of
                                      // other hosts.
                                      std::pair{&settings.peer_address, &sockets.relay}}) {
    if (auto error = listen(*address, *into)) {
      return *error;
    }
  }
  if (settings.directory_address) {
    if (auto error = listen(*settings.directory_address, sockets.directory)) {
      return *error;
    }
  }
  auto peers = BindDatagram(settings.peer_address);
  if (!peers) {
    return peers.error();
  }
  sockets.peers = std::move(peers.value());
  return std::unique_ptr<node_server>(new node_server(std::move(settings_path), std::move(settings),
                                                      std::move(sockets), std::move(clock)));
}

node_server::node_server(std::string settings_path,
                         node_settings settings,
                         listeners sockets,
                         event_loop::clock_function clock)
    : settings_path_(std::move(settings_path)),
      settings_(std::move(settings)),
      loop_(std::move(clock)),
      log_(loop_, settings_.name, STDOUT_FILENO),
      replicas_(settings_.data_centre),
      pools_(loop_, metrics_),
      query_(loop_, replicas_, pools_, log_, metrics_, MakeSeed(settings_)),
      peers_(loop_, log_, std::move(sockets.peers), MakeSelf(settings_), MakeSeed(settings_)),
      feed_(loop_,
            settings_.store_address,
            store_calls_,
            std::move(sockets.relay),
            MakeSeed(settings_),
            *this),
      registration_(loop_, settings_.store_address, store_calls_, MakeSeed(settings_) + 1, *this),
      crash_reports_(loop_, settings_.store_address, store_calls_, MakeSeed(settings_) + 2),
      callers_(loop_,
               std::move(sockets.callers),
               [this](const auto& caller) { query_.Handle(caller); }),
      readiness_(loop_,
                 std::move(sockets.readiness),
                 [this](const auto& caller) { HandleReadiness(caller); }),
      metrics_server_(loop_,
                      std::move(sockets.metrics),
                      [this](const auto& caller) { HandleMetrics(caller); }),
      fleet_size_(kFleetSizeWindow),
      hosts_in_use_(kHostsInUseWindow),
      source_(settings_.name, settings_.data_centre),
      started_(loop_.Now()) {
  if (sockets.directory.is_open()) {
    directory_ =
        std::make_unique<http_server>(loop_, std::move(sockets.directory),
                                      [this](const auto& caller) { HandleDirectory(caller); });
  }
  LimitSmallServer(readiness_, kMaxProbeConnections);
  LimitSmallServer(metrics_server_, kMaxProbeConnections);
  if (directory_) {
    LimitSmallServer(*directory_, kMaxLookUpConnections);
  }
  callers_.OnGivenUp([this](auto cause, std::size_t bytes) { OnConnectionGivenUp(cause, bytes); });
  ApplySettings(settings_);
  peers_.OnMembersChanged([this] { UpdateShares(); });
  peers_.OnCrashReport(
      [this](const crash_report& report) { query_.crashes().Merge(report, "peer"); });
  peers_.OnLimitEnded([this](const std::string& id) { query_.OnLimitEndedElsewhere(id); });
  query_.OnLimitEnded([this](const std::string& id) { peers_.BroadcastLimitEnded(id); });
  query_.crashes().OnRequestBlocked(
      [this](const crash_report& report) { crash_reports_.Write(ToGossipEntry(report)); });
  query_.crashes().OnReport(
      [this](const crash_report& report) { peers_.BroadcastCrashReport(report); });
  peers_.OnColdServer(
      [this](const std::string& id, duration left) { OnColdServer(id, left, "peer"); });
  pools_.OnColdServer([this](const std::string& id, duration left) {
    OnColdServer(id, left, "health");
    peers_.BroadcastColdServer(id, left);
  });
  pools_.OnConnectionRefused(
      [this](const replica& server) { query_.crashes().OnReplicaDown(server); });
  peers_.OnRejoin(
      [this] { registration_.ReplaceValue(platform::EncodeEntry(peers_.SelfEntry())); });
  loop_.OnPause([this](duration pause) { OnPause(pause); });
  loop_.OnUnexpectedError([this](const char* what) {
    metrics_.OnUnexpectedError();
    log_.Record(event_number::unexpected_error, {{"message", what}});
  });
  loop_.OnSignal(SIGTERM, [this] { Leave(); });
  loop_.OnSignal(SIGHUP, [this] { Reload("signal"); });
  loop_.timers().SubscribeEvery(loop_.Now() + kRevisionCheckPeriod, kRevisionCheckPeriod,
                                [this](instant) { CheckRevision(); });
  loop_.timers().Subscribe(loop_.Now() + kViewConvergenceTime,
                           [this](instant) { UpdateRelaying(); });
  loop_.timers().SubscribeEvery(loop_.Now() + kFirstSourceChoice, kSourceCheckPeriod,
                                [this](instant) { UpdateSource("members"); });
  loop_.timers().SubscribeEvery(loop_.Now() + kSettingsCheckPeriod, kSettingsCheckPeriod,
                                [this](instant) { CheckSettingsFile(); });
  loop_.timers().SubscribeEvery(loop_.Now() + kHeldBackCheckPeriod, kHeldBackCheckPeriod,
                                [this](instant now) {
                                  for (const replica& lasting : replicas_.TakeLastingEntries(now)) {
                                    ApplyReplica(lasting);
                                  }
                                });
}

node_server::~node_server() = default;

void node_server::Run() {
  log_.Record(event_number::node_started,
              {{"caller_address", FormatAddress(settings_.caller_address)},
               {"peer_address", FormatAddress(settings_.peer_address)},
               {"store_address", FormatAddress(settings_.store_address)},
               {"incarnation", peers_.SelfEntry().incarnation}});
  registration_.Start(settings_.name, platform::EncodeEntry(peers_.SelfEntry()));
  feed_.Start();
  loop_.Run();
  log_.Record(event_number::node_stopped, {{"unanswered", query_.running_count()}});
  log_.Flush();
}

void node_server::LimitSmallServer(http_server& server, std::size_t max_connections) {
  server.SetLimits(
      {.max_header_bytes = kMaxSmallHeaderBytes, .max_body_bytes = kMaxSmallBodyBytes});
  server.SetMaxConnections(max_connections);
  server.SetMaxMemory(kSmallServerMemory);
  server.OnGivenUp([this](auto cause, std::size_t bytes) { OnConnectionGivenUp(cause, bytes); });
}

void node_server::OnConnectionGivenUp(http_server::give_up_cause cause, std::size_t bytes) {
  ++given_up_count_;
  if (logged_given_up_count_ != 0 && loop_.Now() - given_up_logged_ < kGivenUpLogPeriod) {
    return;
  }
  log_.Record(event_number::caller_given_up,
              {{"cause", cause == http_server::give_up_cause::memory ? "memory" : "connections"},
               {"bytes", bytes},
               {"held", callers_.memory().held_bytes()},
               {"connections", callers_.connection_count()},
               {"count", given_up_count_ - logged_given_up_count_}});
  logged_given_up_count_ = given_up_count_;
  given_up_logged_ = loop_.Now();
}

void node_server::ApplySettings(const node_settings& settings) {
  settings_ = settings;
  store_calls_.outages.SetMinOutage(platform::ShortestLapsingOutage(settings_.server_heartbeat));
  pools_.SetAnswerMemory(settings_.max_memory / kAnswerMemoryDivisor);
  callers_.SetMaxMemory(settings_.max_memory / kCallerMemoryDivisor);
  callers_.SetMaxConnections(
      std::min(static_cast<std::size_t>((settings_.max_descriptors - kReservedDescriptors) / 2),
               settings_.max_memory / kMemoryPerConnection));
  UpdateShares();
}

void node_server::UpdateShares() {
  directory_answers_.clear();
  if (!IsViewComplete()) {
    // Counts from an incomplete view of the fleet are too low.
    fleet_size_ = recent_maximum(kFleetSizeWindow);
    hosts_in_use_ = recent_maximum(kHostsInUseWindow);
  }
  const auto members = peers_.Members();
  const auto hosts = std::count_if(members.begin(), members.end(), [](const member& host) {
    return host.state != member_state::dead;
  });
  metrics_.SetLiveHostCount(static_cast<double>(hosts));
  feed_.SetDirectHosts(source_selector::CountDirectHosts(members));
  const auto in_use = SelectHostsInUse(members, MaxHostsInUse());
  peers_.SetHostsInUse(NamesOf(in_use));
  UpdateRetryShare(in_use, fleet_size_.Update(static_cast<int>(hosts), loop_.Now()));
  UpdateLimitSharers();
  if (query_.table()) {
    pools_.SetConnectionLimits(*query_.table(), static_cast<int>(in_use.size()),
                               IsAmong(in_use, settings_.name));
  }
}

void node_server::UpdateLimitSharers() {
  const auto possible = peers_.PossibleHosts();
  const auto in_use = NamesOf(SelectHostsInUse(possible, MaxHostsInUse()));
  replicas_.SetLimitSharers(
      limit_sharers(settings_.name, in_use, static_cast<int>(possible.size())), KnowsAllHosts(),
      loop_.Now());
}

bool node_server::IsViewComplete() const {
  return loop_.Now() - started_ >= kViewConvergenceTime;
}

bool node_server::KnowsAllHosts() const {
  // After an outage of the store, or together with it, all hosts may be registering again.
  return IsViewComplete() && hosts_read_ && loop_.Now() - *hosts_read_ >= kViewConvergenceTime;
}

std::string node_server::CurrentSource() const {
  return source_.current().empty() ? "store" : source_.current();
}

void node_server::UpdateRelaying() {
  // The hosts that are only registered no longer count from now on.
  directory_answers_.clear();
  feed_.SetRelaying(!is_leaving_ && source_.ShouldRelay(peers_.Members()));
}

void node_server::UpdateSource(const char* cause) {
  if (loop_.Now() - started_ < kFirstSourceChoice) {
    return;
  }
  UpdateRelaying();
  const auto members = peers_.Members();
  const auto hosts = static_cast<int>(members.size());
  const std::string before = CurrentSource();
  const std::string& name =
      source_.Choose(members, hosts, loop_.Now(),
                     {.is_service_answering = registration_.IsStoreAnswering(),
                      .service_answers_since = registration_.store_answers_since(),
                      .service_answered_at = registration_.store_answered_at(),
                      .are_others_ahead = peers_.IsOtherAhead(),
                      .is_left_behind = peers_.IsLeftBehind()});
  registration_.SetFollowing(!source_.current().empty());
  if (source_.HasNoWatcher()) {
    registration_.CheckStore();
  }
  if (CurrentSource() == before) {
    return;
  }
  log_.Record(event_number::source_chosen, {{"source", CurrentSource()},
                                            {"before", before},
                                            {"cause", cause},
                                            {"revision", feed_.position().revision}});
  const auto host = std::find_if(members.begin(), members.end(),
                                 [&name](const member& item) { return item.name == name; });
  feed_.SetSource(host == members.end() ? std::nullopt : ParseSocketAddress(host->peer_address));
}

void node_server::UpdateRetryShare(const std::vector<member>& in_use, int fleet_size) {
  const int max_in_use = hosts_in_use_.Update(static_cast<int>(in_use.size()), loop_.Now());
  double budget_share = 1.0;
  int sharing_hosts = fleet_size;
  if (fleet_size > max_in_use) {
    const bool is_used = IsAmong(in_use, settings_.name);
    budget_share = is_used ? kRetryShareOfHostsInUse : 1.0 - kRetryShareOfHostsInUse;
    sharing_hosts = is_used ? max_in_use : fleet_size - max_in_use;
  }
  query_.SetRetryLimits(HostRetryLimits({.ratio = settings_.retry_ratio,
                                         .slack = settings_.retry_slack,
                                         .window = settings_.retry_window},
                                        budget_share, sharing_hosts));
}

std::size_t node_server::MaxHostsInUse() const {
  int min_connections = std::numeric_limits<int>::max();
  if (query_.table()) {
    for (const service_settings& service : query_.table()->services()) {
      if (service.max_connections > 0) {
        min_connections = std::min(min_connections, service.max_connections);
      }
    }
  }
  return limpetlever::MaxHostsInUse(min_connections);
}

void node_server::Reload(const char* cause) {
  const auto settings = ReadNodeSettings(settings_path_);
  if (!settings) {
    log_.Record(event_number::settings_refused, {{"message", settings.error().message}});
    return;
  }
  const bool has_changed = *settings != settings_;
  if (has_changed) {
    ApplySettings(*settings);
  }
  log_.Record(event_number::node_settings_loaded,
              {{"cause", cause}, {"changed", has_changed ? 1 : 0}});
}

void node_server::CheckSettingsFile() {
  // A file that is being rewritten may be invalid; it is read again at the next check.
  const auto settings = ReadNodeSettings(settings_path_);
  if (settings && *settings != settings_) {
    Reload("file_changed");
  }
}

void node_server::CheckRevision() {
  if (feed_.position() != announced_position_) {
    announced_position_ = feed_.position();
    peers_.SetPosition(announced_position_);
    if (std::exchange(has_unannounced_config_, false)) {
      peers_.AnnouncePosition();
    }
  } else if (peers_.IsBehind() && loop_.Now() - started_ >= kFirstSourceChoice) {
    log_.Record(event_number::watch_renewed, {{"revision", announced_position_.revision},
                                              {"newest", peers_.newest_peer_position().revision},
                                              {"cause", "peers"}});
    if (source_.current().empty()) {
      feed_.RestartStaleWatch();
    } else {
      source_.OnFailed(loop_.Now());
      UpdateSource("behind");
    }
    peers_.OnRenewed();
  }
}

void node_server::HandleReadiness(const std::shared_ptr<server_connection>& caller) {
  const bool is_known = platform::IsReadinessRequest(caller->request().target);
  std::string head;
  AppendStatusLine(head, !is_known ? kNotFound : IsReady() ? kOk : kUnavailable);
  caller->Answer(head, {});
}

void node_server::HandleMetrics(const std::shared_ptr<server_connection>& caller) {
  metrics_.SetDroppedLogLines(static_cast<double>(log_.dropped()));
  metrics_.SetStoreReachable(feed_.position().revision > 0 && feed_.IsStoreReachable());
  metrics_.SetStoreProgress(static_cast<double>(feed_.position().era),
                            static_cast<double>(feed_.position().revision),
                            loop_.Now() - feed_.last_answer());
  metrics_.SetAnswerMemory(static_cast<double>(pools_.answer_memory().held_bytes()),
                           static_cast<double>(pools_.answer_memory().reclaimed_count()));
  metrics_.SetCallerMemory(static_cast<double>(callers_.memory().held_bytes()),
                           static_cast<double>(given_up_count_));
  metrics_.SetBackendServerCount(static_cast<double>(replicas_.size()));
  metrics_.SetColdServerCount(static_cast<double>(replicas_.CountCold(loop_.Now())));
  for (std::size_t i = 0; i < platform::kStoreCallKinds; ++i) {
    const auto kind = static_cast<platform::store_call>(i);
    metrics_.SetStoreCalls(platform::ToString(kind), static_cast<double>(store_calls_.Of(kind)));
  }
  const auto& relayed = feed_.relay().reads();
  metrics_.SetRelayed(static_cast<double>(relayed.answer_count()),
                      static_cast<double>(relayed.answer_bytes()));
  std::string head;
  AppendStatusLine(head, kOk);
  AppendField(head, "Content-Type", "text/plain; version=0.0.4");
  caller->Answer(head, metrics_.FormatPrometheusText());
}

void node_server::HandleDirectory(const std::shared_ptr<server_connection>& caller) {
  const auto request = platform::ParseDirectoryRequest(caller->request().target);
  std::string head;
  if (!request) {
    AppendStatusLine(head, kNotFound);
    caller->Answer(head, {});
    return;
  }
  if (query_.IsSuspended()) {
    AppendStatusLine(head, kUnavailable);
    caller->Answer(head, {});
    return;
  }
  const std::string& answer = DirectoryAnswer(request->data_centre);
  if (answer.empty()) {
    AppendStatusLine(head, kUnavailable);
    caller->Answer(head, {});
    return;
  }
  AppendStatusLine(head, kOk);
  AppendField(head, "Content-Type", kJsonContentType);
  caller->Answer(head, answer);
}

bool node_server::MayName(const member& host) const {
  // A host that has just started has not heard of all others.
  return !IsViewComplete() || !peers_.IsSilent(host.name);
}

void node_server::ReportSilentHosts(const std::vector<member>& members) {
  if (loop_.Now() - silent_hosts_logged_ < kSilentHostsLogPeriod) {
    return;
  }
  std::size_t silent = 0;
  std::string first;
  for (const member& host : SelectHostsInUse(members, MaxHostsInUse())) {
    if (!MayName(host)) {
      first = silent++ == 0 ? host.name : first;
    }
  }
  metrics_.SetSilentHostCount(static_cast<double>(silent));
  if (silent != silent_host_count_) {
    log_.Record(event_number::silent_hosts_changed,
                {{"silent", silent}, {"before", silent_host_count_}, {"first", first}});
    silent_host_count_ = silent;
    silent_hosts_logged_ = loop_.Now();
  }
}

const std::string& node_server::DirectoryAnswer(const std::string& data_centre) {
  if (const auto kept = directory_answers_.find(data_centre);
      kept != directory_answers_.end() && loop_.Now() - kept->second.made < kDirectoryAnswerReuse) {
    return kept->second.text;
  }
  if (directory_answers_.size() >= kMaxDirectoryAnswers) {
    directory_answers_.clear();
  }
  const auto members = peers_.Members();
  ReportSilentHosts(members);
  const auto hosts = ChooseLiveHosts(
      members, [this](const member& host) { return MayName(host); }, data_centre, MaxHostsInUse());
  directory_answer answer{.made = loop_.Now()};
  if (!hosts.empty()) {
    answer.text = platform::EncodeDirectoryAnswer(
        hosts, std::min(kDirectoryAnswerLifetime, settings_.max_advice_lifetime));
  }
  return directory_answers_.insert_or_assign(data_centre, std::move(answer)).first->second.text;
}

void node_server::OnPause(duration pause) {
  log_.Record(event_number::node_resumed, {{"paused_ms", pause}});
  query_.Suspend(loop_.Now() + kMaxSuspension);
  peers_.OnPause(pause);
  feed_.CatchUp();
}

void node_server::Leave() {
  if (std::exchange(is_leaving_, true)) {
    return;
  }
  log_.Record(event_number::node_leaving, {{"running", query_.running_count()}});
  peers_.Leave();
  registration_.Leave();
  callers_.BeginDrain();
  const instant since = loop_.Now();
  query_.BeginStop(since + settings_.grace_time - kExitMargin - kLastAnswersMargin);
  loop_.timers().SubscribeEvery(since + kDrainCheckPeriod, kDrainCheckPeriod,
                                [this, since](instant) { CheckDrained(since); });
}

void node_server::CheckDrained(instant leaving_since) {
  const duration elapsed = loop_.Now() - leaving_since;
  const bool have_answers_expired = elapsed >= kDirectoryAnswerLifetime * kMaxLifetimesKept;
  const bool is_idle = query_.running_count() == 0 && callers_.busy_count() == 0;
  if (elapsed >= settings_.grace_time - kExitMargin - kLastAnswersMargin) {
    query_.FinishAll();
  }
  if ((have_answers_expired && is_idle) || elapsed >= settings_.grace_time - kExitMargin) {
    loop_.Stop();
  }
}

void node_server::OnRouteTable(std::shared_ptr<const route_table> table) {
  const auto& current = query_.table();
  if (current && table->version() <= current->version()) {
    return;
  }
  log_.Record(event_number::config_adopted, {{"version", table->version()},
                                             {"before", current ? current->version() : 0},
                                             {"routes", table->routes().size()},
                                             {"source", CurrentSource()},
                                             {"era", feed_.position().era},
                                             {"revision", feed_.position().revision}});
  metrics_.SetConfigVersion(static_cast<double>(table->version()));
  callers_.SetLimits(table->limits());
  replicas_.SetServices(table->services(), loop_.Now());
  query_.SetRouteTable(std::move(table));
  has_unannounced_config_ = true;
  UpdateShares();
}

void node_server::OnRouteTableRefused(const failure& reason) {
  log_.Record(event_number::config_refused, {{"message", reason.message}});
}

void node_server::OnReplicaChanged(const replica& registered) {
  if (replicas_.HoldBack(registered, loop_.Now())) {
    metrics_.OnEntryRefused();
    log_.Record(event_number::replica_entry_refused,
                {{"replica", registered.id},
                 {"message", "the entry is older than the newest one: started at " +
                                 std::to_string(registered.started_ms) + ", sequence " +
                                 std::to_string(registered.sequence)}});
    return;
  }
  ApplyReplica(registered);
}

void node_server::ApplyReplica(const replica& registered) {
  const auto known = replicas_.Find(registered.id);
  if (known && known->registered.started_ms != registered.started_ms) {
    query_.crashes().OnReplicaDown(known->registered);
  }
  const bool was_limited = known && known->warm_up.IsLimiting(loop_.Now());
  const bool has_changed = replicas_.Put(registered, loop_.Now());
  ReportColdServer(*replicas_.Find(registered.id), was_limited, "entry");
  if (has_changed) {
    log_.Record(event_number::replica_changed,
                {{"replica", registered.id},
                 {"service", registered.service},
                 {"address", FormatAddress(registered.address)},
                 {"state", registered.is_draining ? "draining" : "ready"},
                 {"started_ms", registered.started_ms}});
  }
}

void node_server::OnColdServer(const std::string& id, duration left, const char* source) {
  const auto record = replicas_.Find(id);
  if (!record || !record->warm_up.IsConfigured()) {
    return;
  }
  const instant now = loop_.Now();
  const bool was_limited = record->warm_up.IsLimiting(now);
  record->warm_up.OnColdUntil(std::max(record->warm_up.cold_until(), now + left), now);
  ReportColdServer(*record, was_limited, source);
}

void node_server::ReportColdServer(const replica_record& record,
                                   bool was_limited,
                                   const char* source) {
  const instant now = loop_.Now();
  if (!was_limited && record.warm_up.IsLimiting(now)) {
    log_.Record(event_number::replica_cold, {{"replica", record.registered.id},
                                             {"service", record.registered.service},
                                             {"for_ms", record.warm_up.cold_until() - now},
                                             {"source", source}});
  }
}

void node_server::OnReplicaRemoved(const std::string& id) {
  const auto known = replicas_.Find(id);
  const bool has_left_as_planned = known && (known->registered.is_draining || known->is_leaving);
  if (replicas_.Remove(id, loop_.Now())) {
    if (!has_left_as_planned) {
      query_.crashes().OnReplicaDown(known->registered);
    }
    log_.Record(event_number::replica_removed, {{"replica", id}});
  }
}

void node_server::OnReplicaRemovalDelayed(const std::string& id, duration delay) {
  log_.Record(event_number::replica_removal_delayed,
              {{"replica", id}, {"for_ms", delay}, {"source", CurrentSource()}});
}

void node_server::OnEntryRefused(const std::string& key, const failure& reason) {
  metrics_.OnEntryRefused();
  log_.Record(event_number::store_entry_refused, {{"key", key}, {"message", reason.message}});
}

void node_server::OnReplicaRefused(const std::string& id, const failure& reason) {
  replicas_.Remove(id, loop_.Now());
  metrics_.OnEntryRefused();
  log_.Record(event_number::replica_entry_refused, {{"replica", id}, {"message", reason.message}});
}

void node_server::OnDataCentresTakenOut(std::set<std::string> data_centres) {
  std::string names;
  for (const std::string& name : data_centres) {
    names += (names.empty() ? "" : ",") + name;
  }
  if (replicas_.SetTakenOut(std::move(data_centres), loop_.Now())) {
    log_.Record(event_number::data_centres_taken_out, {{"data_centres", names}});
  }
}

void node_server::OnHostsChanged(const std::vector<gossip_entry>& hosts) {
  const auto own = peers_.SelfEntry();
  const bool is_listed = std::any_of(hosts.begin(), hosts.end(), [&own](const gossip_entry& host) {
    return host.key == own.key && host.incarnation == own.incarnation;
  });
  if (!is_listed) {
    registration_.RewriteMissingEntry();
  }
  directory_answers_.clear();
  peers_.SetRegisteredHosts(hosts);
  if (!hosts_read_) {
    hosts_read_ = loop_.Now();
    loop_.timers().Subscribe(loop_.Now() + kViewConvergenceTime,
                             [this](instant) { UpdateLimitSharers(); });
  }
  UpdateLimitSharers();
}

void node_server::OnCrashReported(const gossip_entry& report) {
  if (const auto parsed = ParseCrashReport(report)) {
    query_.crashes().Merge(*parsed, "store");
  }
}

void node_server::OnStoreLost(int status) {
  log_.Record(event_number::store_lost, {{"status", status}});
}

void node_server::OnStoreRegained(duration outage) {
  log_.Record(event_number::store_regained, {{"outage_ms", outage}});
}

void node_server::OnSourceFailed(int status) {
  source_.OnFailed(loop_.Now());
  UpdateSource(status == 0 ? "no_answer" : "refused");
}

void node_server::OnWatchReplaced(std::int64_t revision, std::int64_t newest) {
  log_.Record(event_number::watch_renewed,
              {{"revision", revision}, {"newest", newest}, {"cause", "store"}});
}

void node_server::OnLoadRefused(std::int64_t revision, std::int64_t known) {
  log_.Record(event_number::store_load_refused, {{"revision", revision},
                                                 {"known", known},
                                                 {"era", feed_.position().era},
                                                 {"source", CurrentSource()}});
}

void node_server::OnStoreHistoryBegun(std::int64_t era, std::int64_t known) {
  log_.Record(event_number::store_era_changed,
              {{"era", era}, {"known", known}, {"source", CurrentSource()}});
  replicas_.BeginHistory();
}

void node_server::OnStoreHistoryLost(std::int64_t revision) {
  log_.Record(event_number::store_history_lost, {{"revision", revision}});
}

void node_server::OnStoreResponsive() {
  feed_.RestartWatch();
}

void node_server::OnCaughtUp() {
  query_.Resume();
}

void node_server::OnRegistered(std::int64_t lease) {
  log_.Record(event_number::host_registered, {{"lease", lease}});
}

}  // namespace limpetlever
