#ifndef LIMPETLEVER_CONTROL_SOURCE_CHOICE_H_
#define LIMPETLEVER_CONTROL_SOURCE_CHOICE_H_

#include <map>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "membership/member.h"

namespace limpetlever {

/**
 * Decides from whom a host learns of changes. In a large fleet few hosts watch the key-value
 * service and the others follow them; in a small one a host follows another only while the service
 * fails it. Every host can go on alone: when the watchers that it knows have failed, it turns to
 * the service.
 */
class source_choice {
 public:
  source_choice(std::string own_name, std::string own_data_centre);

  /**
   * The name of the host to follow; empty for the key-value service. A host that is followed is
   * kept while it is a watcher, is alive and has not failed.
   */
  const std::string& Choose(const std::vector<member>& members, int fleet_size, instant now);
  /** The present source did not answer, refused, or was behind other hosts. */
  void OnFailed(instant now);
  /** Whether this host should tell others what the service says. */
  bool IsRelay(const std::vector<member>& members) const;
  const std::string& current() const { return current_; }

 private:
  std::vector<std::string> Candidates(const std::vector<member>& members) const;

  const std::string own_name_;
  const std::string own_data_centre_;
  std::string current_;
  std::map<std::string, instant> failed_at_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_SOURCE_CHOICE_H_
