#ifndef LIMPETLEVER_CONTROL_WATCHER_CHOICE_H_
#define LIMPETLEVER_CONTROL_WATCHER_CHOICE_H_

#include <string>
#include <vector>

#include "membership/member.h"

namespace limpetlever {

/** Number of hosts per data centre that watch the key-value service in a large fleet. */
inline constexpr std::size_t kWatchersPerDataCentre = 2;

/**
 * Returns the names of the hosts of a data centre that watch the key-value service: the first two
 * of the alive and suspect `members`, in descending order of their rendezvous hash. Hosts with
 * different member lists may choose different watchers; this causes additional calls but does not
 * affect correctness.
 */
std::vector<std::string> ChooseWatchers(const std::vector<member>& members,
                                        const std::string& data_centre);

/** Whether the host `name` is a watcher of `data_centre`. */
bool IsWatcher(const std::vector<member>& members,
               const std::string& data_centre,
               const std::string& name);

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_WATCHER_CHOICE_H_
