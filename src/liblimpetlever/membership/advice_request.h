#ifndef LIMPETLEVER_MEMBERSHIP_ADVICE_REQUEST_H_
#define LIMPETLEVER_MEMBERSHIP_ADVICE_REQUEST_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "membership/member.h"

namespace limpetlever {

/** Input of AdviseAddresses. */
struct advice_request {
  /** Identifies the caller, for example its IP address. */
  std::string caller;
  /** The caller's data centre; empty if it is unknown. */
  std::string data_centre;
  std::vector<member> members;
  /** Names of hosts and of data centres that are out of service; their addresses are left out. */
  std::set<std::string> taken_out_hosts;
  std::set<std::string> taken_out_data_centres;
  /**
   * Weights of hosts and of data centres by name; 1 by default. A weight of 0 excludes the host
   * or data centre.
   */
  std::map<std::string, double> host_weights;
  std::map<std::string, double> data_centre_weights;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_MEMBERSHIP_ADVICE_REQUEST_H_
