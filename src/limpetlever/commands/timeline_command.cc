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

struct host_list {
  std::vector<std::string> addresses;
  std::map<std::string, std::string> service_by_address;
};

result<host_list> FetchHostList(host_client& client) {
  const auto reply = client.Send({.address = {}, .path = "/v1/status"}, resend::allowed);
  if (!reply) {
    return reply.error();
  }
  const auto root = json_reader::ParseText(reply->body, "status");
  if (!root) {
    return root.error();
  }
  json_reader in(*root, "");
  host_list hosts;
  for (json_reader& host : in.ObjectsOrEmpty("hosts")) {
    hosts.addresses.push_back(host.String("http_address"));
  }
  for (json_reader& replica : in.ObjectsOrEmpty("replicas")) {
    hosts.service_by_address[replica.String("address")] = replica.String("service");
  }
  return hosts;
}

result<host_fetch> FetchEvents(const std::string& address, int max_events) {
  host_fetch fetch;
  fetch.request_time = WallNow();
  const auto reply =
      HttpFetch({.address = address, .path = "/v1/events?most=" + std::to_string(max_events)});
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
 * Fetches the events of a host, and then its clock by a second, short request. The uncertainty of
 * the clock offset is half the duration of the request, and the answer with all events takes tens
 * of milliseconds.
 */
result<host_fetch> FetchEventsAndClock(const std::string& address, int max_events) {
  auto events = FetchEvents(address, max_events);
  if (!events) {
    return events.error();
  }
  auto clock = FetchEvents(address, 1);
  if (!clock) {
    return clock.error();
  }
  clock.value().report.events = std::move(events.value().report.events);
  return clock;
}

}  // namespace

exit_code RunTimeline(const std::vector<std::string>& arguments) {
  po::options_description command_options;
  command_options.add_options()("id", po::value<std::string>()->default_value(""),
                                "only this query id or attempt id")(
      "of-host", po::value<std::string>()->default_value(""), "only events of this host")(
      "data-centre", po::value<std::string>()->default_value(""),
      "only events of hosts in this data centre")(
      "service", po::value<std::string>()->default_value(""),
      "only events about backend servers of this service")(
      "number", po::value<int>()->default_value(0), "only this event number")(
      "most", po::value<int>()->default_value(8192),
      "maximum number of events per host, oldest first")("html", po::value<std::string>(),
                                                         "write an HTML page to this file");
  const auto options = ParseOptions(arguments, "timeline --host IP:port", command_options, {});
  if (!options) {
    return exit_code::success;
  }
  host_client client(options->hosts);
  const auto hosts = FetchHostList(client);
  if (!hosts) {
    std::cerr << hosts.error().message << "\n";
    return exit_code::unreachable;
  }
  std::vector<host_fetch> fetches;
  bool is_partial = false;
  for (const std::string& address : hosts->addresses) {
    auto fetch = FetchEventsAndClock(address, options->values["most"].as<int>());
    if (fetch) {
      fetches.push_back(std::move(fetch.value()));
    } else {
      std::cerr << "no events of " << address << ": " << fetch.error().message << "\n";
      is_partial = true;
    }
  }
  const timeline filtered = FilterTimeline(
      MergeTimeline(fetches), {.id = options->values["id"].as<std::string>(),
                               .host = options->values["of-host"].as<std::string>(),
                               .data_centre = options->values["data-centre"].as<std::string>(),
                               .service = options->values["service"].as<std::string>(),
                               .number = options->values["number"].as<int>(),
                               .service_by_address = hosts->service_by_address});
  if (options->values.count("html") > 0) {
    const auto path = options->values["html"].as<std::string>();
    std::ofstream out(path);
    out << FormatTimelineHtml(filtered);
    if (!out.flush()) {
      std::cerr << path << ": cannot be written\n";
      return exit_code::usage;
    }
  } else {
    std::cout << (options->json ? FormatTimelineJson(filtered) : FormatTimelineText(filtered));
  }
  return is_partial ? exit_code::partial : exit_code::success;
}

}  // namespace limpetlever
