#ifndef LIMPETLEVER_MEMBERSHIP_ADDRESS_ADVICE_H_
#define LIMPETLEVER_MEMBERSHIP_ADDRESS_ADVICE_H_

#include <string>
#include <vector>

#include "base/time_types.h"
#include "membership/advice_request.h"

namespace limpetlever {

/** HTTP addresses that a caller may use, best first, and how long the caller may keep them. */
struct address_advice {
  std::vector<std::string> http_addresses;
  duration lifetime{};

  bool operator==(const address_advice&) const = default;
};

/**
 * Chooses up to 3 addresses for a caller. The result stays the same while the members and weights
 * do. Callers are distributed over the hosts in proportion to the weights. Hosts of the caller's
 * own data centre are listed first unless this would give them more than their share of
 * callers, assuming that callers are distributed evenly over the data centres.
 */
address_advice AdviseAddresses(const advice_request& request);

}  // namespace limpetlever

#endif  // LIMPETLEVER_MEMBERSHIP_ADDRESS_ADVICE_H_
