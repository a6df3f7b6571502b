#ifndef LIMPETLEVER_CONTROL_SOURCE_SELECTOR_H_
#define LIMPETLEVER_CONTROL_SOURCE_SELECTOR_H_

#include <map>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "membership/member.h"

namespace limpetlever {

/**
 * Selects the source from which a host reads changes: the key-value service or another host that
 * relays them. In a large fleet a few hosts (watchers) watch the service and the others follow a
 * watcher; in a small fleet a host follows another one only while its calls to the service fail. If
 * all candidate watchers have failed, a host falls back to the service.
 */
class source_selector {
 public:
  source_selector(std::string own_name, std::string own_data_centre);

  /**
   * Returns the name of the host to follow; empty for the key-value service. The followed host does
   * not change while it is a watcher, is alive and has not failed.
   */
  const std::string& Choose(const std::vector<member>& members, int fleet_size, instant now);
  /** Reports that the current source did not answer, refused a call, or lags behind other hosts. */
  void OnFailed(instant now);
  /** Whether this host is a watcher and should relay changes from the service to other hosts. */
  bool ShouldRelay(const std::vector<member>& members) const;
  /** The result of the last call of Choose(). */
  const std::string& current() const { return current_; }

 private:
  std::vector<std::string> Candidates(const std::vector<member>& members) const;

  const std::string own_name_;
  const std::string own_data_centre_;
  std::string current_;
  std::map<std::string, instant> failed_at_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_SOURCE_SELECTOR_H_
