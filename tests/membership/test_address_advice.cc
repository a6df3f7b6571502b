#include <criterion/criterion.h>

#include "membership/address_advice.h"

using namespace limpetlever;

namespace {

advice_request MakeRequest(const std::vector<int>& hosts_by_data_centre) {
  advice_request request;
  for (std::size_t d = 0; d < hosts_by_data_centre.size(); ++d) {
    for (int i = 0; i < hosts_by_data_centre[d]; ++i) {
      const std::string name = "d" + std::to_string(d) + "h" + std::to_string(i);
      request.members.push_back(
          {.name = name, .data_centre = "d" + std::to_string(d), .http_address = name});
    }
  }
  return request;
}

}  // namespace

// Guards against the few hosts of a small data centre being overloaded by its callers, and against
// hosts with a smaller weight getting an equal share.
Test(address_advice, callers_are_distributed_by_weight) {
  advice_request request = MakeRequest({1, 4, 10});
  request.host_weights["d2h0"] = 0.5;
  std::map<std::string, int> first;
  for (int caller = 0; caller < 30000; ++caller) {
    request.caller = "c" + std::to_string(caller);
    request.data_centre = "d" + std::to_string(caller % 3);
    ++first[AdviseAddresses(request).http_addresses.front()];
  }
  const double share_of_full_weight = 30000 / 14.5;
  for (const auto& [name, count] : first) {
    const double expected = name == "d2h0" ? share_of_full_weight / 2 : share_of_full_weight;
    cr_assert(count > expected * 0.8 && count < expected * 1.25, "%s %d", name.c_str(), count);
  }
}

// Guards against returning addresses of hosts that accept no new requests.
Test(address_advice, hosts_that_accept_no_requests_are_left_out) {
  advice_request request = MakeRequest({3, 3});
  request.caller = "c";
  request.data_centre = "d0";
  request.members[0].state = member_state::leaving;
  request.members[1].state = member_state::dead;
  request.taken_out_hosts = {"d0h2"};
  cr_assert(AdviseAddresses(request).http_addresses.size() == 3);
  for (const std::string& address : AdviseAddresses(request).http_addresses) {
    cr_assert(address.starts_with("d1"));
  }
  request.taken_out_data_centres = {"d1"};
  cr_assert(AdviseAddresses(request).http_addresses.empty());
}
