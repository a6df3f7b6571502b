#include <iostream>

#include "base/json_reader.h"
#include "commands/command.h"
#include "commands/host_client.h"
#include "commands/operator_options.h"

namespace limpetlever {

namespace {

constexpr std::int64_t kMaxNumber = 1'000'000'000'000;

void PrintStatus(json_reader& in) {
  std::cout << "as seen by " << in.StringOr("host", "") << ": table version "
            << in.IntegerOr("table_version", 0, kMaxNumber, 0) << ", view epoch "
            << in.IntegerOr("view_epoch", 0, kMaxNumber, 0) << "\n";
  for (json_reader& host : in.ObjectsOrEmpty("hosts")) {
    std::cout << "host " << host.StringOr("name", "") << "  " << host.StringOr("state", "") << "  "
              << host.StringOr("data_centre", "") << "  " << host.StringOr("http_address", "")
              << (host.BoolOr("out", false) ? "  taken out" : "") << "\n";
  }
  for (json_reader& row : in.ObjectsOrEmpty("data_centres")) {
    std::cout << "data centre " << row.StringOr("name", "") << "  weight "
              << row.NumberOr("weight", 0, 1000, 1) << (row.BoolOr("out", false) ? "  out" : "")
              << "\n";
  }
  for (json_reader& row : in.ObjectsOrEmpty("services")) {
    std::cout << "service " << row.StringOr("name", "") << "  workload "
              << row.StringOr("workload", "") << "  slots "
              << row.IntegerOr("slots", 0, kMaxNumber, 0) << "  connections "
              << row.IntegerOr("connections", 0, kMaxNumber, 0) << "\n";
  }
  for (json_reader& row : in.ObjectsOrEmpty("replicas")) {
    const std::string reason = row.StringOr("reason", "");
    std::cout << "backend server " << row.StringOr("address", "") << "  "
              << row.StringOr("service", "") << "  " << row.StringOr("data_centre", "")
              << "  owner " << row.StringOr("owner", "") << "  limit "
              << row.IntegerOr("limit", 0, kMaxNumber, 0) << " of "
              << row.IntegerOr("table_limit", 0, kMaxNumber, 0)
              << (reason.empty() ? "" : "  limited: " + reason) << "\n";
  }
}

}  // namespace

exit_code RunStatus(const std::vector<std::string>& arguments) {
  const auto options = ParseOptions(arguments, "status --host IP:port",
                                    boost::program_options::options_description(), {});
  if (!options) {
    return exit_code::success;
  }
  host_client client(options->hosts);
  const auto reply = client.Send({.address = {}, .path = "/v1/status"}, resend::allowed);
  if (!reply) {
    std::cerr << reply.error().message << "\n";
    return exit_code::unreachable;
  }
  const auto root = json_reader::ParseText(reply->body, "status");
  if (reply->status != 200 || !root) {
    std::cerr << ErrorMessage(*reply) << "\n";
    return exit_code::not_run;
  }
  if (options->json) {
    std::cout << reply->body << "\n";
    return exit_code::success;
  }
  json_reader in(*root, "");
  PrintStatus(in);
  return exit_code::success;
}

}  // namespace limpetlever
