#ifndef LIMPETLEVER_MEMBERSHIP_HOST_CHOICE_H_
#define LIMPETLEVER_MEMBERSHIP_HOST_CHOICE_H_

#include <cstddef>
#include <string>
#include <vector>

#include "membership/member.h"

namespace limpetlever {

/** The most addresses that a caller takes from one answer. */
inline constexpr std::size_t kMostAdvisedHosts = 64;

/**
 * The hosts that a caller in `data_centre` should use, at most kMostAdvisedHosts: those of its own
 * data centre if they can bear its callers, else all. Hosts that are leaving, dead or suspected are
 * left out; if that leaves none, suspected ones are named. Of a fleet that is larger than
 * `most_in_use`, the hosts with the most processor time are named, the same by every host.
 */
std::vector<member> ChooseHosts(const std::vector<member>& members,
                                const std::string& data_centre,
                                std::size_t most_in_use);

/**
 * The hosts that callers are sent to: those that are alive, or suspected if none is, and of a
 * larger fleet those with the most processor time in each data centre, `most_in_use` in all. Hosts
 * that are much weaker than the strongest are left out where the others suffice.
 */
std::vector<member> HostsInUse(const std::vector<member>& members, std::size_t most_in_use);

/**
 * How many hosts a fleet should use, so that each may hold some connections to a backend server
 * that accepts `max_connections` from all of them.
 */
std::size_t MostHostsInUse(int max_connections);

}  // namespace limpetlever

#endif  // LIMPETLEVER_MEMBERSHIP_HOST_CHOICE_H_
