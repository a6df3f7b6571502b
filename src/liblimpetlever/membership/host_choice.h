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
 * left out; if that leaves none, suspected ones are named.
 */
std::vector<member> ChooseHosts(const std::vector<member>& members, const std::string& data_centre);

}  // namespace limpetlever

#endif  // LIMPETLEVER_MEMBERSHIP_HOST_CHOICE_H_
