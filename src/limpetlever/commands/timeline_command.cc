#include <fstream>
#include <iostream>
#include <limits>
#include <utility>

#include "base/json_reader.h"
#include "commands/command.h"
#include "commands/host_client.h"
#include "commands/operator_options.h"
#include "events/timeline_filter.h"
#include "events/timeline_format.h"
#include "transport/monotonic_clock.h"

namespace limpetlever {

namespace {

namespace po = boost::program_options;

struct known_system {
  std::vector<std::string> addresses;
  std::map<std::string, std::string> service_by_address;
};

result<known_system> ReadSystem(host_client& client) {
  const auto reply = client.Send({.address = {}, .path = "/v1/status"}, resend::allowed);
  if (!reply) {
    return reply.error();
  }
  const auto root = json_reader::ParseText(reply->body, "status");
  if (!root) {
    return root.error();
  }
  json_reader in(*root, "");
  known_system system;
  for (json_reader& host : in.ObjectsOrEmpty("hosts")) {
    system.addresses.push_back(host.String("http_address"));
  }
  for (json_reader& replica : in.ObjectsOrEmpty("replicas")) {
    system.service_by_address[replica.String("address")] = replica.String("service");
  }
  return system;
}

result<host_fetch> FetchOnce(const std::string& address, int max_count) {
  host_fetch fetch;
  fetch.request_time = WallNow();
  const auto reply =
      HttpFetch({.address = address, .path = "/v1/events?most=" + std::to_string(max_count)});
  fetch.response_time = WallNow();
  if (!reply) {
    return reply.error();
  }
  const auto report = ParseHostEvents(reply->body, address);
  if (!report) {
    return report.error();
  }
  fetch.report = *report;
  return fetch;
}

/**
 * The clock is read by a request of its own: the answer with all events takes tens of milliseconds,
 * and half of that would be the uncertainty of the offset.
 */
result<host_fetch> Fetch(const std::string& address, int max_count) {
  auto events = FetchOnce(address, max_count);
  if (!events) {
    return events.error();
  }
  auto clock = FetchOnce(address, 1);
  if (!clock) {
    return clock.error();
  }
  clock.value().report.events = std::move(events.value().report.events);
  return clock;
}

}  // namespace

exit_code RunTimeline(const std::vector<std::string>& arguments) {
  po::options_description own;
  own.add_options()("id", po::value<std::string>()->default_value(""),
                    "only this query id or attempt id")(
      "of-host", po::value<std::string>()->default_value(""), "only events of this host")(
      "data-centre", po::value<std::string>()->default_value(""),
      "only events of hosts in this data centre")(
      "service", po::value<std::string>()->default_value(""),
      "only events about backend servers of this service")(
      "number", po::value<int>()->default_value(0), "only this event number")(
      "most", po::value<int>()->default_value(8192), "events to read per host, oldest first")(
      "html", po::value<std::string>(), "write an HTML page to this file");
  const auto options = ReadOptions(arguments, "timeline --host IP:port", own, {});
  if (!options) {
    return exit_code::success;
  }
  host_client client(options->hosts);
  const auto system = ReadSystem(client);
  if (!system) {
    std::cerr << system.error().message << "\n";
    return exit_code::unreachable;
  }
  std::vector<host_fetch> fetches;
  bool is_partial = false;
  for (const std::string& address : system->addresses) {
    auto fetch = Fetch(address, options->values["most"].as<int>());
    if (fetch) {
      fetches.push_back(std::move(fetch.value()));
    } else {
      std::cerr << "no events of " << address << ": " << fetch.error().message << "\n";
      is_partial = true;
    }
  }
  const timeline shown = FilterTimeline(
      MergeTimeline(fetches), {.id = options->values["id"].as<std::string>(),
                               .host = options->values["of-host"].as<std::string>(),
                               .data_centre = options->values["data-centre"].as<std::string>(),
                               .service = options->values["service"].as<std::string>(),
                               .number = options->values["number"].as<int>(),
                               .service_by_address = system->service_by_address});
  if (options->values.count("html") > 0) {
    const auto path = options->values["html"].as<std::string>();
    std::ofstream out(path);
    out << FormatTimelineHtml(shown);
    if (!out.flush()) {
      std::cerr << path << ": cannot be written\n";
      return exit_code::usage;
    }
  } else {
    std::cout << (options->json ? FormatTimelineJson(shown) : FormatTimelineText(shown));
  }
  return is_partial ? exit_code::partial : exit_code::success;
}

}  // namespace limpetlever
