#ifndef LIMPETLEVER_NODE_PEER_SERVICE_H_
#define LIMPETLEVER_NODE_PEER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "control/gossip_entry.h"
#include "control/store_position.h"
#include "membership/liveness_table.h"
#include "membership/member.h"
#include "membership/member_tracker.h"
#include "membership/peer_message.h"
#include "net/io_watch.h"
#include "net/socket.h"
#include "timer/timer_service.h"

namespace limpetlever {

class event_loop;
class log_writer;
struct crash_report;

/**
 * Exchanges probes and gossip with other hosts over UDP, and tracks by member_tracker which of them
 * are alive.
 */
class peer_service : public io_watch::handler {
 public:
  peer_service(event_loop& loop,
               log_writer& log,
               socket_handle socket,
               member self,
               std::uint64_t seed);
  ~peer_service() override;

  /** Sets the hosts that are registered in the store. */
  void SetRegisteredHosts(const std::vector<gossip_entry>& hosts);
  /**
   * The members of the fleet with their states, this host included. Shortly after the start this
   * includes registered hosts that have not sent a message yet.
   */
  std::vector<member> Members() const;
  /**
   * The hosts that may be sending requests: this one and those that are registered or seem to be
   * alive, all with the state `alive`. Larger than the fleet rather than smaller, and nearly the
   * same on both sides of a partition.
   */
  std::vector<member> PossibleHosts() const;
  /**
   * Whether a member that counts as alive has ended or is cut off: it has shown no sign of life
   * lately, neither to this host nor to one that has told it. Its state may follow much later.
   */
  bool IsSilent(const std::string& name) const;
  /** Sets the hosts that callers use, which the hosts report on first. */
  void SetHostsInUse(const std::vector<std::string>& names) { liveness_.SetHostsInUse(names); }
  /** This process was paused and has received nothing in that time. */
  void OnPause(duration pause);
  /** Sets the function to call when Members() has changed. */
  void OnMembersChanged(std::function<void()> call) { on_members_changed_ = std::move(call); }
  /**
   * Sets the function to call when this host has taken a new incarnation. That happens when the
   * others remember an earlier process of the same name with a greater incarnation, from a clock
   * that was ahead.
   */
  void OnRejoin(std::function<void()> call) { on_rejoin_ = std::move(call); }
  /** Sets the function to call with another host's report on a request that crashes servers. */
  void OnCrashReport(std::function<void(const crash_report&)> call) {
    on_crash_report_ = std::move(call);
  }
  /**
   * Sends the report to all hosts at once, since the request's next run may crash another server.
   */
  void BroadcastCrashReport(const crash_report& report);
  /** Sets the function to call with a server whose limit has ended, as another host has found. */
  void OnLimitEnded(std::function<void(const std::string&)> call) {
    on_limit_ended_ = std::move(call);
  }
  /** Tells all hosts that `server` no longer names a limit. */
  void BroadcastLimitEnded(const std::string& server);
  /** Sets the function to call with a server that another host has found cold for `left`. */
  void OnColdServer(std::function<void(const std::string& server, duration left)> call) {
    on_cold_server_ = std::move(call);
  }
  /** Tells all hosts that `server` is cold for `left`. */
  void BroadcastColdServer(const std::string& server, duration left);
  /** Marks this host as leaving and sends that to all hosts. */
  void Leave();
  /**
   * Sets the point of the store's history up to which this host has applied all changes; every
   * message to other hosts carries it.
   */
  void SetPosition(const store_position& position);
  /**
   * Sends the position to some hosts at once, so that a host whose watch no longer delivers changes
   * learns of it.
   */
  void AnnouncePosition();
  /** Whether another host has a newer position that this one has not reached within 1 s. */
  bool IsBehind() const;
  /** The newest position that another host has named. */
  const store_position& newest_peer_position() const { return newest_peer_position_; }
  /** Whether another host has a newer position. */
  bool IsOtherAhead() const { return newest_peer_position_ > position_; }
  /** Whether other hosts have had a newer one for 1 s, while this host has not advanced. */
  bool IsLeftBehind() const;
  /**
   * To be called when this host has renewed its watch because IsBehind(). After some renewals the
   * newer position is taken for an error of the host that named it.
   */
  void OnRenewed();
  /** This host's own entry, to be registered in the store. */
  gossip_entry SelfEntry() const;

 private:
  struct relayed_probe {
    socket_address requester;
    std::uint64_t probe_id = 0;
  };
  void OnReadable() override;
  void OnWritable() override {}
  void HandleMessage(const peer_message& message, const socket_address& from);
  /** When a message that was just read may have been received: before a pause, or now. */
  instant EarliestReceipt() const;
  void ApplyUpdates(const std::vector<gossip_entry>& updates);
  /**
   * Takes a new incarnation if `entry` has a greater one for this host's name. Only an earlier
   * process of that name can have sent it.
   */
  void RejoinIfOutdated(const gossip_entry& entry);
  /** Sends an update to all other hosts that are not dead. */
  void Broadcast(const gossip_entry& update);
  /** Sends the probes that are due. */
  void Advance();
  void Send(const std::string& address, peer_message message);
  /** The peer address of a host; empty if the name is unknown. */
  std::string FindAddress(const std::string& name) const;
  /** The host with this peer address; empty if there is none. */
  std::string FindName(const std::string& address) const;
  /** Logs changed member states and calls `on_members_changed_`, if anything has changed. */
  void ReportChanges();

  event_loop& loop_;
  log_writer& log_;
  socket_handle socket_;
  io_watch watch_;
  member self_;
  std::uint64_t seed_;
  random_source random_;
  member_tracker tracker_;
  liveness_table liveness_;
  /** Hosts registered in the store by name, whether or not they have sent a message. */
  std::map<std::string, member> registered_;
  /** The state last logged for each host. */
  std::map<std::string, member_state> logged_states_;
  /** Timeouts of outstanding probes, by probe id. */
  std::map<std::uint64_t, timer_service::timer_id> probe_timeouts_;
  /** Pings sent for other hosts, by the probe id chosen here. */
  std::map<std::uint64_t, relayed_probe> relayed_probes_;
  std::function<void()> on_members_changed_;
  std::function<void()> on_rejoin_;
  std::function<void(const crash_report&)> on_crash_report_;
  std::function<void(const std::string&)> on_limit_ended_;
  std::function<void(const std::string&, duration)> on_cold_server_;
  std::uint64_t next_relayed_id_;
  std::uint64_t reported_change_count_ = 0;
  instant started_;
  store_position position_;
  /** The newest position in a message of another host. */
  store_position newest_peer_position_;
  /** Calls of OnRenewed since the position of this host has changed. */
  int renewals_ = 0;
  /** Since when this host has neither had the newest position nor advanced. */
  std::optional<instant> left_behind_since_;
  /** When this host learned of a newer position, or last set its own. */
  instant behind_since_;
  timer_service::timer_id tick_ = 0;
  bool is_leaving_ = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NODE_PEER_SERVICE_H_
