#include "commands/request_command.h"

#include <iostream>

#include "base/errc.h"
#include "base/json_reader.h"

namespace limpetlever {

namespace {

void PrintAnswer(json_reader& in) {
  std::cout << "verdict " << in.StringOr("verdict", "may_have_run");
  if (in.Has("shard_count")) {
    std::cout << "; " << (in.BoolOr("complete", false) ? "complete" : "partial") << "; "
              << in.IntegerOr("shards_answered", 0, 1'000'000, 0) << " of "
              << in.IntegerOr("shard_count", 0, 1'000'000, 0) << " shards";
  }
  std::cout << "\n";
  if (const std::string error = in.StringOr("error", ""); !error.empty()) {
    std::cout << "error " << error << "\n";
  }
  for (json_reader& shard : in.ObjectsOrEmpty("shards_missing")) {
    std::cout << "missing shard " << shard.IntegerOr("shard", 0, 1'000'000, 0) << ": "
              << shard.StringOr("reason", "") << "\n";
  }
  for (json_reader& shard : in.ObjectsOrEmpty("results")) {
    std::cout << "shard " << shard.IntegerOr("shard", 0, 1'000'000, 0) << ": "
              << shard.StringOr("body", "") << "\n";
  }
  if (in.Has("result")) {
    std::cout << in.StringOr("result", "") << "\n";
  }
}

}  // namespace

exit_code SendRequest(const operator_options& options,
                      const std::string& path,
                      const std::string& body,
                      int deadline_ms,
                      resend on_lost_answer) {
  host_client client(options.hosts);
  client.PreferRecommendedHosts();
  // The host answers by the deadline; the additional 5 s allow for the network.
  const duration timeout = std::chrono::milliseconds(deadline_ms + 5'000);
  const auto reply = client.Send(
      {.address = {}, .method = "POST", .path = path, .body = body, .time_limit = timeout},
      on_lost_answer);
  if (!reply) {
    std::cerr << reply.error().message << "\n";
    return reply.error().code == errc::connection_failed ? exit_code::unreachable
                                                         : exit_code::may_have_run;
  }
  const auto root = json_reader::ParseText(reply->body, "answer");
  if (!root) {
    std::cerr << root.error().message << "\n";
    return exit_code::may_have_run;
  }
  json_reader in(*root, "");
  if (options.json) {
    std::cout << reply->body << "\n";
  } else {
    PrintAnswer(in);
  }
  switch (reply->status) {
    case 200:
      return in.BoolOr("complete", true) ? exit_code::success : exit_code::partial;
    case 400:
    case 413:
      return exit_code::usage;
    case 504:
      return exit_code::may_have_run;
    default:
      return exit_code::not_run;
  }
}

}  // namespace limpetlever
