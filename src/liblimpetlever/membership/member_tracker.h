#ifndef LIMPETLEVER_MEMBERSHIP_MEMBER_TRACKER_H_
#define LIMPETLEVER_MEMBERSHIP_MEMBER_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random_source.h"
#include "base/time_types.h"
#include "control/gossip_entry.h"
#include "membership/member.h"
#include "membership/probe_action.h"

namespace limpetlever {

/**
 * Tracks which hosts are alive, from this host's own probes and from the states that other hosts
 * report. The platform's host list only supplies hosts to probe: a listed host becomes a member
 * once it has been observed (it answered a probe, or another host reported its state), and an
 * observed host is a member whether it is listed or not. Not safe for concurrent use.
 */
class member_tracker {
 public:
  member_tracker(member self, std::uint64_t seed, instant now);

  /** Replaces the host list after it was read from the platform. */
  void SetRegisteredHosts(const std::vector<member>& hosts);

  /** Applies a member state received from another host; returns whether it changed anything. */
  bool MergeEntry(const gossip_entry& entry, instant now);

  /** Returns the probes to send now. Call at the time of NextTimer() and after OnProbeResult(). */
  std::vector<probe_action> Advance(instant now);

  /**
   * Reports the end of a probe: `answered` is true if an answer from the target host itself
   * arrived within the caller's time limit.
   */
  void OnProbeResult(std::uint64_t id, bool answered, instant now);

  /** Sets the state of this host to leaving; later updates announce it to the other hosts. */
  void Leave(instant now);

  /**
   * Returns the member states to attach to a message or answer to `peer`: recent changes, each of
   * which is sent a bounded number of times, and the state of the peer itself if that is not alive,
   * so that the peer can refute it.
   */
  std::vector<gossip_entry> CollectUpdates(const std::string& peer);

  /** Observed members and this host, sorted by name. Dead ones are kept for 10 minutes. */
  std::vector<member> Members() const;

  /** nullopt for a host that has not been observed. */
  std::optional<member> Find(const std::string& name) const;

  /**
   * Whether the host has left the fleet: it is absent from the latest host list, and here it has no
   * record or has been dead for 60 s. False until this host itself has run for 60 s, and while the
   * host list is unknown or empty.
   */
  bool HasLeftFleet(const std::string& name, instant now) const;

  /** When to call Advance next. */
  std::optional<instant> NextTimer() const;

  /** Increases with each change of Members(). */
  std::uint64_t change_count() const { return change_count_; }

 private:
  struct record {
    member host;
    std::int64_t round = 0;
    bool observed = false;
    std::optional<instant> suspected_at;
    std::optional<instant> dead_at;
    // When this host probes again a member that it suspects after a failed probe of its own.
    std::optional<instant> reprobe_at;
    int sends_left = 0;
  };
  struct probe {
    std::string target;
    std::int64_t incarnation = 0;
    int outstanding_indirect = 0;   // indirect probes without a result; 0 before any is sent
    bool is_direct_pending = true;  // the direct probe has no result yet
  };

  record* FindRecord(const std::string& name);
  void UpdateRecord(record& item, const member& host, std::int64_t round, instant now);
  void SetState(record& item, member_state state, instant now);
  void ScheduleSends(record& item);
  void MarkSuspect(const std::string& name, std::int64_t incarnation, instant now);
  void ResumeAfterPause(duration gap);
  std::optional<std::string> NextProbeTarget();
  std::vector<std::string> RandomRelays(const std::string& target);
  void ExpireSuspicionsAndRecords(instant now);
  void ReprobeSuspects(instant now, std::vector<probe_action>& actions);
  probe_action CreateDirectProbe(const std::string& target, std::vector<gossip_entry> updates);
  /** The state of the host if that is not alive: it can refute a suspicion once it knows of it. */
  std::vector<gossip_entry> StateToRefute(const std::string& name);
  std::vector<gossip_entry> TakePendingUpdates();

  std::string self_;
  random_source random_;
  std::map<std::string, record> records_;
  std::vector<std::string> round_robin_;
  std::map<std::uint64_t, probe> probes_;
  // Id of the direct probe by the id of each indirect probe.
  std::map<std::uint64_t, std::uint64_t> direct_probe_ids_;
  std::vector<probe_action> pending_actions_;
  std::uint64_t next_id_ = 1;
  std::uint64_t change_count_ = 0;
  std::set<std::string> listed_names_;
  bool has_host_list_ = false;
  instant started_at_;
  instant last_advance_;
  instant next_probe_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_MEMBERSHIP_MEMBER_TRACKER_H_
