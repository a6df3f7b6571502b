#ifndef LIMPETLEVER_MEMBERSHIP_HOST_CHOICE_H_
#define LIMPETLEVER_MEMBERSHIP_HOST_CHOICE_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "membership/member.h"

namespace limpetlever {

/** Callers use at most this number of addresses from one answer. */
inline constexpr std::size_t kMaxAdvisedHosts = 64;

/**
 * Returns the hosts that a caller in `data_centre` should use, at most kMaxAdvisedHosts: those of
 * SelectHostsInUse() in its own data centre if these have the capacity for all its callers,
 * otherwise all of SelectHostsInUse(). Every host returns the same result for the same members.
 */
std::vector<member> ChooseHosts(const std::vector<member>& members,
                                const std::string& data_centre,
                                std::size_t max_in_use);

/**
 * As ChooseHosts, without the hosts for which `is_live` is false: they have ended or are cut off,
 * although `members` does not show it yet. Of the others, those that are in use come first; if few
 * of these are left, all live members are considered.
 */
std::vector<member> ChooseLiveHosts(const std::vector<member>& members,
                                    const std::function<bool(const member&)>& is_live,
                                    const std::string& data_centre,
                                    std::size_t max_in_use);

/**
 * Returns the hosts that callers are sent to: those that are alive or, if there are none, those
 * that are suspect. Of a fleet that is larger than `max_in_use`, these are the hosts with the most
 * processor time in each data centre, about `max_in_use` in all. Hosts that are much weaker than
 * the strongest one are left out if the others have sufficient capacity.
 */
std::vector<member> SelectHostsInUse(const std::vector<member>& members, std::size_t max_in_use);

/**
 * Returns the number of hosts that callers should be sent to, so that each of them can hold several
 * connections to a backend server that accepts `max_connections` in all. At least 12, whatever the
 * backend servers accept.
 */
std::size_t MaxHostsInUse(int max_connections);

}  // namespace limpetlever

#endif  // LIMPETLEVER_MEMBERSHIP_HOST_CHOICE_H_
