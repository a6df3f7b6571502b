#include "transport/host_list_client.h"

#include <utility>

#include "base/errc.h"
#include "base/json_reader.h"
#include "transport/http_fetch.h"

namespace limpetlever {

host_list_client::host_list_client(std::string address) : address_(std::move(address)) {}

result<std::vector<member>> host_list_client::Read() {
  const auto reply = HttpFetch({.address = address_, .path = "/hosts"});
  if (!reply || reply->status != 200) {
    return failure{errc::store_unavailable,
                   "list of hosts: " +
                       (reply ? "status " + std::to_string(reply->status) : reply.error().message)};
  }
  const auto root = json_reader::ParseText(reply->body, "list of hosts");
  if (!root) {
    return root.error();
  }
  json_reader in(*root, "");
  std::vector<member> members;
  for (json_reader& host : in.ObjectsOrEmpty("hosts")) {
    members.push_back({.name = host.String("name"),
                       .region = host.String("region"),
                       .data_centre = host.String("data_centre"),
                       .http_address = host.String("http_address"),
                       .peer_address = host.String("peer_address"),
                       .incarnation = 0,
                       .state = host.StringOneOf("state", {"live", "leaving"}) == "live"
                                    ? member_state::alive
                                    : member_state::leaving});
    in.TakeErrorFrom(host);
  }
  if (const auto error = in.Finish()) {
    return failure{error->code, "list of hosts: " + error->message};
  }
  return members;
}

}  // namespace limpetlever
