#ifndef LIMPETLEVER_NODE_PEER_SERVICE_H_
#define LIMPETLEVER_NODE_PEER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "control/gossip_entry.h"
#include "membership/member.h"
#include "membership/member_tracker.h"
#include "membership/peer_message.h"
#include "net/io_watch.h"
#include "net/socket.h"
#include "timer/timer_service.h"

namespace limpetlever {

class event_loop;
class log_writer;
struct crash_note;

/** Probes other hosts by datagrams and keeps member_tracker's view of them. */
class peer_service : public io_watch::handler {
 public:
  peer_service(event_loop& loop,
               log_writer& log,
               socket_handle socket,
               member self,
               std::uint64_t seed);
  ~peer_service() override;

  /** The hosts that are registered in the store. */
  void UseList(const std::vector<gossip_entry>& hosts);
  /** Hosts that callers may be sent to, this one included unless it leaves. */
  std::vector<member> Members() const;
  /** Called when Members() has changed. */
  void OnChange(std::function<void()> call) { on_change_ = std::move(call); }
  /**
   * Called when this host has taken a new incarnation: the others remember a former process of its
   * name with a greater one, from a clock that was ahead.
   */
  void OnRejoin(std::function<void()> call) { on_rejoin_ = std::move(call); }
  /** Called with what another host tells of a request that crashes servers. */
  void OnCrashNote(std::function<void(const crash_note&)> call) {
    on_crash_note_ = std::move(call);
  }
  /** Tells all hosts at once: the next run of the request may crash another server. */
  void TellCrashNote(const crash_note& note);
  void Leave();
  /** The store's revision that this host tells the others. */
  void SetRevision(std::int64_t revision);
  /** Tells some hosts at once, so that one with a deaf watch learns of it. */
  void TellRevision();
  /** Whether another host has told of a newer revision, and this one has waited for it too long. */
  bool IsBehind() const;
  /** This host's own entry, for the store. */
  gossip_entry SelfEntry() const;

 private:
  struct relayed_probe {
    socket_address asker;
    std::uint64_t probe = 0;
  };
  void OnReadable() override;
  void OnWritable() override {}
  void Take(const peer_message& message, const socket_address& from);
  void TakeUpdates(const std::vector<gossip_entry>& updates);
  /** Answers for a greater incarnation of this host's name, which only a former process can have.
   */
  void RejoinIfOutdated(const gossip_entry& entry);
  void Advance();
  void Send(const std::string& address, peer_message message);
  std::string AddressOf(const std::string& name) const;
  std::string NameAt(const std::string& address) const;
  void Changed();

  event_loop& loop_;
  log_writer& log_;
  socket_handle socket_;
  io_watch watch_;
  member self_;
  std::uint64_t seed_;
  random_source random_;
  member_tracker tracker_;
  /** Registered hosts by name, whether they were heard or not. */
  std::map<std::string, member> listed_;
  std::map<std::string, member_state> logged_;
  std::map<std::uint64_t, timer_service::timer_id> timeouts_;
  std::map<std::uint64_t, relayed_probe> relayed_;
  std::function<void()> on_change_;
  std::function<void()> on_rejoin_;
  std::function<void(const crash_note&)> on_crash_note_;
  std::uint64_t next_relayed_;
  std::uint64_t seen_changes_ = 0;
  instant started_;
  std::int64_t revision_ = 0;
  std::int64_t newest_heard_ = 0;
  /** Since when a newer revision is known to exist. */
  instant behind_since_;
  timer_service::timer_id tick_ = 0;
  bool is_leaving_ = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_PEER_SERVICE_H_
