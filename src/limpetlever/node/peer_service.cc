#include "node/peer_service.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <utility>

#include "base/socket_address.h"
#include "limits/crash_note.h"
#include "membership/member_entry.h"
#include "net/event_loop.h"
#include "node/log_writer.h"

namespace limpetlever {

namespace {

// A datagram takes 1 ms each way; a busy host answers within some tens of milliseconds.
constexpr duration kPingLimit = std::chrono::milliseconds(300);
// The way over a relay is twice as long.
constexpr duration kRelayLimit = std::chrono::milliseconds(600);
// A watch brings a change within some milliseconds, or half a second when changes are batched. What
// takes longer than this was lost; the change must be in force within 3 s.
constexpr duration kBehindTime = std::chrono::milliseconds(1000);
constexpr duration kTick = std::chrono::milliseconds(100);
// Until then a registered host counts although it was not heard: this host has just started.
constexpr duration kTrustListTime = std::chrono::milliseconds(2500);
// Numbers of relayed pings, apart from those that member_tracker chooses.
constexpr std::uint64_t kFirstRelayed = std::uint64_t{1} << 40;
constexpr std::size_t kMostRelayed = 256;
constexpr std::size_t kMostReads = 32;
// Hosts that one host tells of a new revision; with all hosts doing so, each hears of it.
constexpr std::size_t kToldAtOnce = 16;

std::string ToText(const socket_address& address) {
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
      next_relayed_(kFirstRelayed),
      started_(loop.Now()) {
  watch_.WantRead(true);
  tick_ = loop_.timers().SubscribeEvery(loop_.Now() + kTick, kTick, [this](instant) { Advance(); });
}

peer_service::~peer_service() {
  loop_.timers().Cancel(tick_);
  for (const auto& [probe, timer] : timeouts_) {
    loop_.timers().Cancel(timer);
  }
}

gossip_entry peer_service::SelfEntry() const {
  return ToEntry(self_, 0);
}

void peer_service::UseList(const std::vector<gossip_entry>& hosts) {
  std::map<std::string, member> listed;
  for (const gossip_entry& entry : hosts) {
    RejoinIfOutdated(entry);
    if (auto host = MemberFromEntry(entry); host && host->name != self_.name) {
      listed.emplace(host->name, std::move(*host));
    }
  }
  std::vector<member> names;
  for (const auto& [name, host] : listed) {
    names.push_back(host);
    if (!listed_.contains(name) && !tracker_.Find(name)) {
      // A new host is told of this one at once, and answers with what it knows.
      Send(host.peer_address,
           {.kind = peer_message::kind_type::news, .updates = {ToEntry(self_, 0)}});
    }
  }
  listed_ = std::move(listed);
  tracker_.TakeList(names);
  Changed();
}

std::vector<member> peer_service::Members() const {
  std::vector<member> members = tracker_.Members();
  if (loop_.Now() - started_ < kTrustListTime) {
    for (const auto& [name, host] : listed_) {
      if (!tracker_.Find(name)) {
        members.push_back(host);
      }
    }
  }
  return members;
}

std::string peer_service::AddressOf(const std::string& name) const {
  if (const auto known = tracker_.Find(name)) {
    return known->peer_address;
  }
  const auto listed = listed_.find(name);
  return listed == listed_.end() ? std::string() : listed->second.peer_address;
}

std::string peer_service::NameAt(const std::string& address) const {
  for (const member& host : tracker_.Members()) {
    if (host.peer_address == address) {
      return host.name;
    }
  }
  return {};
}

void peer_service::Send(const std::string& address, peer_message message) {
  message.revision = revision_;
  const auto parsed = ParseSocketAddress(address);
  sockaddr_in target{};
  target.sin_family = AF_INET;
  if (!parsed || inet_pton(AF_INET, parsed->ip.c_str(), &target.sin_addr) != 1) {
    return;
  }
  target.sin_port = htons(parsed->port);
  const std::string bytes = EncodePeerMessage(message);
  // A datagram that cannot be sent is like one that is lost: the probe times out.
  sendto(socket_.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}

void peer_service::OnReadable() {
  const auto buffer = loop_.read_buffer();
  for (std::size_t i = 0; i < kMostReads; ++i) {
    sockaddr_in from{};
    socklen_t from_size = sizeof(from);
    const ssize_t size = recvfrom(socket_.fd(), buffer.data(), buffer.size(), 0,
                                  reinterpret_cast<sockaddr*>(&from), &from_size);
    if (size < 0) {
      break;
    }
    const auto message = DecodePeerMessage({buffer.data(), static_cast<std::size_t>(size)});
    if (message) {
      Take(*message, FromSockaddr(from));
    }
  }
  Changed();
}

void peer_service::RejoinIfOutdated(const gossip_entry& entry) {
  const auto host = MemberFromEntry(entry);
  if (!host || host->name != self_.name || host->incarnation <= self_.incarnation) {
    return;
  }
  self_.incarnation = host->incarnation + 1;
  tracker_ = member_tracker(self_, ++seed_, loop_.Now());
  seen_changes_ = 0;
  for (const auto& [probe, timer] : timeouts_) {
    loop_.timers().Cancel(timer);
  }
  timeouts_.clear();
  std::vector<member> names;
  for (const auto& [name, listed] : listed_) {
    names.push_back(listed);
  }
  tracker_.TakeList(names);
  if (is_leaving_) {
    tracker_.Leave(loop_.Now());
  }
  started_ = loop_.Now();
  if (on_rejoin_) {
    on_rejoin_();
  }
}

void peer_service::TakeUpdates(const std::vector<gossip_entry>& updates) {
  for (const gossip_entry& entry : updates) {
    if (const auto note = CrashNoteOf(entry)) {
      if (on_crash_note_) {
        on_crash_note_(*note);
      }
      continue;
    }
    RejoinIfOutdated(entry);
    tracker_.TakeEntry(entry, loop_.Now());
  }
}

void peer_service::Take(const peer_message& message, const socket_address& from) {
  TakeUpdates(message.updates);
  if (message.revision > newest_heard_) {
    if (newest_heard_ <= revision_) {
      behind_since_ = loop_.Now();
    }
    newest_heard_ = message.revision;
  }
  const std::string sender = ToText(from);
  switch (message.kind) {
    case peer_message::kind_type::ping:
      Send(sender, {.kind = peer_message::kind_type::ack,
                    .probe = message.probe,
                    .updates = tracker_.UpdatesFor(NameAt(sender))});
      break;
    case peer_message::kind_type::ack:
      if (const auto relayed = relayed_.find(message.probe); relayed != relayed_.end()) {
        Send(ToText(relayed->second.asker),
             {.kind = peer_message::kind_type::ack, .probe = relayed->second.probe});
        relayed_.erase(relayed);
      } else if (const auto timer = timeouts_.find(message.probe); timer != timeouts_.end()) {
        loop_.timers().Cancel(timer->second);
        timeouts_.erase(timer);
        tracker_.OnProbeResult(message.probe, true, loop_.Now());
      }
      break;
    case peer_message::kind_type::relay:
      if (relayed_.size() >= kMostRelayed) {
        relayed_.erase(relayed_.begin());
      }
      relayed_[next_relayed_] = {.asker = from, .probe = message.probe};
      Send(message.target, {.kind = peer_message::kind_type::ping, .probe = next_relayed_});
      ++next_relayed_;
      break;
    case peer_message::kind_type::news:
      break;
  }
}

void peer_service::SetRevision(std::int64_t revision) {
  revision_ = revision;
  behind_since_ = loop_.Now();
}

void peer_service::TellRevision() {
  std::vector<member> others;
  for (const member& host : tracker_.Members()) {
    if (host.name != self_.name && host.state != member_state::dead) {
      others.push_back(host);
    }
  }
  for (std::size_t told = 0; told < kToldAtOnce && !others.empty(); ++told) {
    const std::size_t at = random_.Below(others.size());
    Send(others[at].peer_address, {.kind = peer_message::kind_type::news});
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(at));
  }
}

bool peer_service::IsBehind() const {
  return newest_heard_ > revision_ && loop_.Now() - behind_since_ > kBehindTime;
}

void peer_service::TellCrashNote(const crash_note& note) {
  for (const member& host : tracker_.Members()) {
    if (host.name != self_.name && host.state != member_state::dead) {
      Send(host.peer_address, {.kind = peer_message::kind_type::news, .updates = {ToGossip(note)}});
    }
  }
}

void peer_service::Advance() {
  const instant now = loop_.Now();
  const auto next = tracker_.NextTimer();
  if (next && *next > now) {
    return;
  }
  for (const probe_action& action : tracker_.Advance(now)) {
    peer_message message{.probe = action.id, .updates = action.updates};
    std::string address;
    if (action.relay.empty()) {
      message.kind = peer_message::kind_type::ping;
      address = AddressOf(action.target);
    } else {
      message.kind = peer_message::kind_type::relay;
      message.target = AddressOf(action.target);
      address = AddressOf(action.relay);
    }
    Send(address, message);
    const duration limit = action.relay.empty() ? kPingLimit : kRelayLimit;
    timeouts_[action.id] =
        loop_.timers().Subscribe(now + limit, [this, probe = action.id](instant at) {
          timeouts_.erase(probe);
          tracker_.OnProbeResult(probe, false, at);
          Changed();
        });
  }
  Changed();
}

void peer_service::Changed() {
  if (tracker_.change_count() == seen_changes_) {
    return;
  }
  seen_changes_ = tracker_.change_count();
  for (const member& host : tracker_.Members()) {
    const auto [known, is_new] = logged_.try_emplace(host.name, host.state);
    if (is_new || known->second != host.state) {
      log_.Record(event_number::peer_state_changed,
                  {{"member", host.name},
                   {"from", is_new ? "unknown" : ToString(known->second)},
                   {"to", ToString(host.state)},
                   {"incarnation", host.incarnation}});
      known->second = host.state;
    }
  }
  if (on_change_) {
    on_change_();
  }
}

void peer_service::Leave() {
  is_leaving_ = true;
  tracker_.Leave(loop_.Now());
  // Told to all at once: callers must not be sent here any more.
  for (const member& host : tracker_.Members()) {
    if (host.name != self_.name && host.state != member_state::dead) {
      Send(host.peer_address,
           {.kind = peer_message::kind_type::news, .updates = tracker_.UpdatesFor(host.name)});
    }
  }
  Changed();
}

}  // namespace limpetlever
