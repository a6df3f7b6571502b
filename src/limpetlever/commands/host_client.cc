#include "commands/host_client.h"

#include <algorithm>

#include "base/errc.h"
#include "base/json_reader.h"

namespace limpetlever {

result<http_reply> host_client::Send(http_fetch_request call, resend on_lost_answer) {
  failure last_failure{errc::connection_failed, "no host was given"};
  bool was_lost = false;
  for (const std::string& host : hosts_) {
    call.address = host;
    auto reply = HttpFetch(call);
    if (reply) {
      return reply;
    }
    last_failure = reply.error();
    if (last_failure.code == errc::connection_lost) {
      was_lost = true;
      if (on_lost_answer == resend::never) {
        return last_failure;
      }
    }
  }
  return failure{was_lost ? errc::connection_lost : errc::connection_failed, last_failure.message};
}

void host_client::PreferRecommendedHosts() {
  const auto reply = Send({.address = {}, .path = "/v1/hosts"}, resend::allowed);
  if (!reply || reply->status != 200) {
    return;
  }
  const auto root = json_reader::ParseText(reply->body, "/v1/hosts");
  if (!root) {
    return;
  }
  std::vector<std::string> recommended = json_reader(*root, "").StringsOrEmpty("addresses");
  for (const std::string& host : hosts_) {
    if (std::find(recommended.begin(), recommended.end(), host) == recommended.end()) {
      recommended.push_back(host);
    }
  }
  hosts_ = std::move(recommended);
}

std::string ErrorMessage(const http_reply& reply) {
  const auto root = json_reader::ParseText(reply.body, "answer");
  const std::string text = root ? json_reader(*root, "").StringOr("error", "") : "";
  return text.empty() ? "status " + std::to_string(reply.status) : text;
}

}  // namespace limpetlever
