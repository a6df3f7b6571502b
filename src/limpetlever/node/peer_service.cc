#include "node/peer_service.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <utility>

#include "base/bounded_number.h"
#include "base/socket_address.h"
#include "limits/crash_report.h"
#include "membership/member_entry.h"
#include "net/event_loop.h"
#include "node/log_writer.h"

namespace limpetlever {

namespace {

// A datagram takes 1 ms each way; a busy host answers within tens of milliseconds.
constexpr duration kPingTimeout = std::chrono::milliseconds(300);
// A ping through a relay takes two round trips.
constexpr duration kRelayedPingTimeout = std::chrono::milliseconds(600);
// A watch delivers a change within milliseconds, or within half a second when changes are batched.
// A change that takes longer than this is taken for lost; it must be in force within 3 s.
constexpr duration kMaxRevisionLag = std::chrono::milliseconds(1000);
constexpr duration kTickPeriod = std::chrono::milliseconds(100);
// Until this time after the start, registered hosts count as members although they have
// not sent a message yet.
constexpr duration kRegisteredHostsGracePeriod = std::chrono::milliseconds(2500);
// Ids of relayed pings start here, which keeps them apart from those that member_tracker chooses.
constexpr std::uint64_t kFirstRelayedProbeId = std::uint64_t{1} << 40;
constexpr std::size_t kMaxRelayedProbes = 256;
constexpr std::size_t kMaxReadsPerWakeup = 32;
// Messages that arrived while the process was paused are read within this time after it.
constexpr duration kBacklogTime = std::chrono::milliseconds(200);
// Hosts to which one host sends a new revision. As every host does so, each one receives it.
constexpr std::size_t kRevisionFanOut = 16;

// Renewals after which a position that another host has named, and that no source has reached, is
// taken for an error of that host.
constexpr int kMaxRenewals = 3;
// A wall clock is wrong by seconds. An incarnation that is further ahead is not one of this host.
constexpr duration kMaxClockError = std::chrono::hours(24);

// Key of an update on a backend server that no longer names a limit; its id follows.
constexpr std::string_view kLimitEndedPrefix = "limit-ended/";
// Key of an update on a backend server that is cold; its id follows. The version is the time for
// which it is, in milliseconds.
constexpr std::string_view kColdPrefix = "cold/";
constexpr duration kMaxColdTime = std::chrono::minutes(10);

std::string FormatAddress(const socket_address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

}  // namespace

peer_service::peer_service(event_loop& loop,
                           log_writer& log,
                           socket_handle socket,
                           member self,
                           std::uint64_t seed)
    : loop_(loop),
      log_(log),
      socket_(std::move(socket)),
      watch_(loop, socket_.fd(), *this),
      self_(self),
      seed_(seed),
      random_(seed + 1),
      tracker_(std::move(self), seed, loop.Now()),
      liveness_(self_.name),
      next_relayed_id_(kFirstRelayedProbeId),
      started_(loop.Now()) {
  watch_.WantRead(true);
  tick_ = loop_.timers().SubscribeEvery(loop_.Now() + kTickPeriod, kTickPeriod,
                                        [this](instant) { Advance(); });
}

peer_service::~peer_service() {
  loop_.timers().Cancel(tick_);
  for (const auto& [probe, timer] : probe_timeouts_) {
    loop_.timers().Cancel(timer);
  }
}

gossip_entry peer_service::SelfEntry() const {
  return ToGossipEntry(self_, 0);
}

void peer_service::SetRegisteredHosts(const std::vector<gossip_entry>& hosts) {
  std::map<std::string, member> registered;
  for (const gossip_entry& entry : hosts) {
    RejoinIfOutdated(entry);
    if (auto host = ParseMember(entry); host && host->name != self_.name) {
      registered.emplace(host->name, std::move(*host));
    }
  }
  std::vector<member> registered_members;
  for (const auto& [name, host] : registered) {
    registered_members.push_back(host);
    if (!registered_.contains(name) && !tracker_.Find(name)) {
      // Introduces this host to a newly registered one.
      Send(host.peer_address,
           {.kind = peer_message::kind_type::update, .updates = {ToGossipEntry(self_, 0)}});
    }
  }
  registered_ = std::move(registered);
  tracker_.SetRegisteredHosts(registered_members);
  ReportChanges();
}

std::vector<member> peer_service::Members() const {
  std::vector<member> members = tracker_.Members();
  if (loop_.Now() - started_ < kRegisteredHostsGracePeriod) {
    for (const auto& [name, host] : registered_) {
      if (!tracker_.Find(name)) {
        members.push_back(host);
      }
    }
  }
  return members;
}

bool peer_service::IsSilent(const std::string& name) const {
  return !liveness_.IsLive(name, loop_.Now()) && liveness_.IsComplete(loop_.Now());
}

void peer_service::OnPause(duration pause) {
  liveness_.OnPause(pause, loop_.Now());
}

std::string peer_service::FindAddress(const std::string& name) const {
  if (const auto known = tracker_.Find(name)) {
    return known->peer_address;
  }
  const auto registered = registered_.find(name);
  return registered == registered_.end() ? std::string() : registered->second.peer_address;
}

std::string peer_service::FindName(const std::string& address) const {
  for (const member& host : tracker_.Members()) {
    if (host.peer_address == address) {
      return host.name;
    }
  }
  return {};
}

void peer_service::Send(const std::string& address, peer_message message) {
  message.position = position_;
  const auto parsed = ParseSocketAddress(address);
  sockaddr_in target{};
  target.sin_family = AF_INET;
  if (!parsed || inet_pton(AF_INET, parsed->ip.c_str(), &target.sin_addr) != 1) {
    return;
  }
  target.sin_port = htons(parsed->port);
  const std::string bytes = EncodePeerMessage(message);
  // A datagram that cannot be sent is treated like a lost one: the probe times out.
  sendto(socket_.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}

void peer_service::OnReadable() {
  const auto buffer = loop_.read_buffer();
  for (std::size_t i = 0; i < kMaxReadsPerWakeup; ++i) {
    sockaddr_in from{};
    socklen_t from_size = sizeof(from);
    const ssize_t size = recvfrom(socket_.fd(), buffer.data(), buffer.size(), 0,
                                  reinterpret_cast<sockaddr*>(&from), &from_size);
    if (size < 0) {
      break;
    }
    const auto message = DecodePeerMessage({buffer.data(), static_cast<std::size_t>(size)});
    if (message) {
      HandleMessage(*message, FromSockaddr(from));
    }
  }
  ReportChanges();
}

void peer_service::RejoinIfOutdated(const gossip_entry& entry) {
  const auto host = ParseMember(entry);
  if (!host || host->name != self_.name || host->incarnation <= self_.incarnation) {
    return;
  }
  const auto now = ReadWallClock();
  if (host->incarnation > (now + kMaxClockError).time_since_epoch().count()) {
    return;
  }
  self_.incarnation = host->incarnation + 1;
  tracker_ = member_tracker(self_, ++seed_, loop_.Now());
  reported_change_count_ = 0;
  for (const auto& [probe, timer] : probe_timeouts_) {
    loop_.timers().Cancel(timer);
  }
  probe_timeouts_.clear();
  std::vector<member> registered_members;
  for (const auto& [name, registered] : registered_) {
    registered_members.push_back(registered);
  }
  tracker_.SetRegisteredHosts(registered_members);
  if (is_leaving_) {
    tracker_.Leave(loop_.Now());
  }
  started_ = loop_.Now();
  if (on_rejoin_) {
    on_rejoin_();
  }
}

void peer_service::ApplyUpdates(const std::vector<gossip_entry>& updates) {
  for (const gossip_entry& entry : updates) {
    if (const auto report = ParseCrashReport(entry)) {
      if (on_crash_report_) {
        on_crash_report_(*report);
      }
      continue;
    }
    if (entry.key.starts_with(kLimitEndedPrefix)) {
      if (on_limit_ended_) {
        on_limit_ended_(entry.key.substr(kLimitEndedPrefix.size()));
      }
      continue;
    }
    if (entry.key.starts_with(kColdPrefix)) {
      const duration left = BoundedMilliseconds(static_cast<double>(entry.version), kMaxColdTime);
      if (on_cold_server_ && left > duration::zero()) {
        on_cold_server_(entry.key.substr(kColdPrefix.size()), left);
      }
      continue;
    }
    RejoinIfOutdated(entry);
    tracker_.MergeEntry(entry, loop_.Now());
  }
}

instant peer_service::EarliestReceipt() const {
  const auto& pause = loop_.last_pause();
  const bool is_backlog = loop_.Now() - pause.end < kBacklogTime;
  return is_backlog ? pause.end - pause.length : loop_.Now();
}

void peer_service::HandleMessage(const peer_message& message, const socket_address& from) {
  ApplyUpdates(message.updates);
  if (!message.liveness_report.empty()) {
    liveness_.Merge(message.liveness_report, EarliestReceipt());
  } else if (message.kind != peer_message::kind_type::update) {
    // A host of an earlier version, or one that asks for a relayed probe.
    if (const std::string name = FindName(FormatAddress(from)); !name.empty()) {
      liveness_.OnMessage(name, EarliestReceipt());
    }
  }
  if (message.position > newest_peer_position_) {
    if (newest_peer_position_ <= position_) {
      behind_since_ = loop_.Now();
    }
    newest_peer_position_ = message.position;
    left_behind_since_ = left_behind_since_.value_or(loop_.Now());
  }
  const std::string sender = FormatAddress(from);
  switch (message.kind) {
    case peer_message::kind_type::ping:
      Send(sender, {.kind = peer_message::kind_type::ack,
                    .probe_id = message.probe_id,
                    .updates = tracker_.CollectUpdates(FindName(sender)),
                    .liveness_report = liveness_.Report(loop_.Now())});
      break;
    case peer_message::kind_type::ack:
      if (const auto relayed = relayed_probes_.find(message.probe_id);
          relayed != relayed_probes_.end()) {
        Send(FormatAddress(relayed->second.requester),
             {.kind = peer_message::kind_type::ack, .probe_id = relayed->second.probe_id});
        relayed_probes_.erase(relayed);
      } else if (const auto timer = probe_timeouts_.find(message.probe_id);
                 timer != probe_timeouts_.end()) {
        loop_.timers().Cancel(timer->second);
        probe_timeouts_.erase(timer);
        tracker_.OnProbeResult(message.probe_id, true, loop_.Now());
      }
      break;
    case peer_message::kind_type::relay:
      if (relayed_probes_.size() >= kMaxRelayedProbes) {
        relayed_probes_.erase(relayed_probes_.begin());
      }
      relayed_probes_[next_relayed_id_] = {.requester = from, .probe_id = message.probe_id};
      Send(message.target, {.kind = peer_message::kind_type::ping, .probe_id = next_relayed_id_});
      ++next_relayed_id_;
      break;
    case peer_message::kind_type::update:
      break;
  }
}

void peer_service::SetPosition(const store_position& position) {
  position_ = position;
  left_behind_since_ = IsOtherAhead() ? std::optional(loop_.Now()) : std::nullopt;
  behind_since_ = loop_.Now();
  renewals_ = 0;
}

void peer_service::OnRenewed() {
  behind_since_ = loop_.Now();
  if (++renewals_ >= kMaxRenewals) {
    newest_peer_position_ = position_;
    renewals_ = 0;
  }
}

void peer_service::AnnouncePosition() {
  std::vector<member> others;
  for (const member& host : tracker_.Members()) {
    if (host.name != self_.name && host.state != member_state::dead) {
      others.push_back(host);
    }
  }
  for (std::size_t sent = 0; sent < kRevisionFanOut && !others.empty(); ++sent) {
    const std::size_t at = random_.Below(others.size());
    Send(others[at].peer_address, {.kind = peer_message::kind_type::update});
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(at));
  }
}

bool peer_service::IsLeftBehind() const {
  return IsOtherAhead() && left_behind_since_ &&
         loop_.Now() - *left_behind_since_ > kMaxRevisionLag;
}

bool peer_service::IsBehind() const {
  return IsOtherAhead() && loop_.Now() - behind_since_ > kMaxRevisionLag;
}

void peer_service::Broadcast(const gossip_entry& update) {
  for (const member& host : tracker_.Members()) {
    if (host.name != self_.name && host.state != member_state::dead) {
      Send(host.peer_address, {.kind = peer_message::kind_type::update, .updates = {update}});
    }
  }
}

void peer_service::BroadcastCrashReport(const crash_report& report) {
  Broadcast(ToGossipEntry(report));
}

void peer_service::BroadcastLimitEnded(const std::string& server) {
  Broadcast({.key = std::string(kLimitEndedPrefix) + server});
}

void peer_service::BroadcastColdServer(const std::string& server, duration left) {
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(left).count();
  Broadcast({.key = std::string(kColdPrefix) + server, .version = ms});
}

std::vector<member> peer_service::PossibleHosts() const {
  std::map<std::string, member> hosts = registered_;
  for (const member& host : tracker_.Members()) {
    if (host.state == member_state::leaving) {
      hosts.erase(host.name);
    } else if (host.state != member_state::dead) {
      hosts[host.name] = host;
    }
  }
  std::vector<member> possible;
  for (auto& [name, host] : hosts) {
    host.state = member_state::alive;
    possible.push_back(std::move(host));
  }
  return possible;
}

void peer_service::Advance() {
  const instant now = loop_.Now();
  const auto next = tracker_.NextTimer();
  if (next && *next > now) {
    return;
  }
  for (const probe_action& action : tracker_.Advance(now)) {
    peer_message message{.probe_id = action.id, .updates = action.updates};
    std::string address;
    if (action.relay.empty()) {
      message.kind = peer_message::kind_type::ping;
      address = FindAddress(action.target);
      const auto target = tracker_.Find(action.target);
      if (!target || target->state == member_state::alive) {
        message.liveness_report = liveness_.Report(loop_.Now());
      }
    } else {
      message.kind = peer_message::kind_type::relay;
      message.target = FindAddress(action.target);
      address = FindAddress(action.relay);
    }
    Send(address, message);
    const duration limit = action.relay.empty() ? kPingTimeout : kRelayedPingTimeout;
    probe_timeouts_[action.id] =
        loop_.timers().Subscribe(now + limit, [this, probe = action.id](instant at) {
          probe_timeouts_.erase(probe);
          tracker_.OnProbeResult(probe, false, at);
          ReportChanges();
        });
  }
  ReportChanges();
}

void peer_service::ReportChanges() {
  if (tracker_.change_count() == reported_change_count_) {
    return;
  }
  reported_change_count_ = tracker_.change_count();
  for (const member& host : tracker_.Members()) {
    const auto [known, is_new] = logged_states_.try_emplace(host.name, host.state);
    if (is_new || known->second != host.state) {
      log_.Record(event_number::peer_state_changed,
                  {{"member", host.name},
                   {"from", is_new ? "unknown" : ToString(known->second)},
                   {"to", ToString(host.state)},
                   {"incarnation", host.incarnation}});
      known->second = host.state;
    }
  }
  if (on_members_changed_) {
    on_members_changed_();
  }
}

void peer_service::Leave() {
  is_leaving_ = true;
  tracker_.Leave(loop_.Now());
  // Sent to all hosts at once, so that they stop directing callers to this host.
  for (const member& host : tracker_.Members()) {
    if (host.name != self_.name && host.state != member_state::dead) {
      Send(host.peer_address, {.kind = peer_message::kind_type::update,
                               .updates = tracker_.CollectUpdates(host.name)});
    }
  }
  ReportChanges();
}

}  // namespace limpetlever
