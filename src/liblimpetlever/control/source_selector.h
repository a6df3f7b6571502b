#ifndef LIMPETLEVER_CONTROL_SOURCE_SELECTOR_H_
#define LIMPETLEVER_CONTROL_SOURCE_SELECTOR_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "membership/member.h"

namespace limpetlever {

/** What a host knows, apart from its source, of who can reach the key-value service. */
struct source_evidence {
  /** Whether the service has answered the last of the other calls of this host. */
  bool is_service_answering = true;
  /** Since when it has answered each of them. */
  instant service_answers_since{};
  /** When it has last answered one; nullopt if that is not known. */
  std::optional<instant> service_answered_at;
  /** Whether other hosts have changes that this host does not have. */
  bool are_others_ahead = true;
  /** Whether they have had them for so long that this host cannot wait for its watchers. */
  bool is_left_behind = true;
};

/**
 * Selects the source from which a host reads changes: the key-value service or another host that
 * relays them. In a large fleet a few hosts (watchers) watch the service and the others follow a
 * watcher; in a small fleet a host follows another one only while its calls to the service fail
 * and other hosts are ahead, and goes back once the service answers one of its calls. If all
 * candidate watchers have failed, a host falls back to the service for some seconds, but only if
 * that is known to answer: a service that is away must not be called by the whole fleet, and its
 * return is told by the watchers.
 */
class source_selector {
 public:
  source_selector(std::string own_name, std::string own_data_centre);

  /**
   * Returns the name of the host to follow; empty for the key-value service. The followed host does
   * not change while it is a watcher, is alive and has not failed.
   */
  const std::string& Choose(const std::vector<member>& members,
                            int fleet_size,
                            instant now,
                            const source_evidence& evidence = {});
  /** Reports that the current source did not answer, refused a call, or lags behind other hosts. */
  void OnFailed(instant now);
  /** Whether this host is a watcher and should relay changes from the service to other hosts. */
  bool ShouldRelay(const std::vector<member>& members) const;
  /** The number of live hosts that read from the service itself while it answers all of them. */
  static int CountDirectHosts(const std::vector<member>& members);
  /** Whether all watchers that this host could follow have failed, as of the last Choose(). */
  bool HasNoWatcher() const { return has_no_watcher_; }
  /** The result of the last call of Choose(). */
  const std::string& current() const { return current_; }

 private:
  /**
   * The watchers that this host may follow, the preferred ones first. A host that is left behind
   * tries those of all data centres.
   */
  std::vector<std::string> Candidates(const std::vector<member>& members,
                                      bool is_left_behind) const;
  /** The watchers of other data centres, of one or of all, in an order that is this host's own. */
  std::vector<std::string> RemoteCandidates(const std::vector<member>& members, bool has_all) const;
  /** Whether the service has failed this host, and has not answered it since. */
  bool HasServiceFailed(const source_evidence& evidence) const;
  /** Whether a host without a watcher that works may call the service itself. */
  bool MayFallBack(const source_evidence& evidence, instant now) const;
  /** The one of `hosts` that failed first, which is to be tried again. */
  std::string LeastRecentlyFailed(const std::vector<std::string>& hosts) const;

  const std::string own_name_;
  const std::string own_data_centre_;
  std::string current_;
  bool has_no_watcher_ = false;
  std::map<std::string, instant> failed_at_;
  /** Start and end of the latest failures of watchers that followed each other. */
  instant failures_began_;
  instant last_failure_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_SOURCE_SELECTOR_H_
