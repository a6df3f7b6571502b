#include "commands/send_edit.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <future>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <thread>

#include "base/errc.h"
#include "base/json_reader.h"
#include "commands/host_client.h"
#include "transport/monotonic_clock.h"

namespace limpetlever {

namespace {

namespace po = boost::program_options;

/** An edit must be in force on all hosts within 4 s (docs/design.md, section 1). */
constexpr duration kInForceTimeout = std::chrono::seconds(4);
constexpr duration kStatusTimeout = std::chrono::milliseconds(1000);
/** Maximum number of hosts whose status is requested at the same time. */
constexpr std::size_t kMaxParallelRequests = 32;

/** A host that is not known to be dead, and whether the edit is in force on it. */
struct live_host {
  std::string name;
  std::string address;
  bool in_force = false;
};

std::optional<std::int64_t> FetchTableVersion(const std::string& address) {
  const auto reply =
      HttpFetch({.address = address, .path = "/v1/status?brief=1", .time_limit = kStatusTimeout});
  if (!reply || reply->status != 200) {
    return std::nullopt;
  }
  const auto root = json_reader::ParseText(reply->body, address);
  if (!root) {
    return std::nullopt;
  }
  return json_reader(*root, "").IntegerOr("table_version", 0,
                                          std::numeric_limits<std::int64_t>::max(), 0);
}

std::vector<live_host> FetchLiveHosts(host_client& client) {
  std::vector<live_host> hosts;
  const auto reply = client.Send({.address = {}, .path = "/v1/status"}, resend::allowed);
  const auto root = reply ? json_reader::ParseText(reply->body, "status")
                          : result<Poco::JSON::Object::Ptr>(reply.error());
  if (!root) {
    return hosts;
  }
  json_reader in(*root, "");
  for (json_reader& host : in.ObjectsOrEmpty("hosts")) {
    if (host.String("state") != "dead") {
      hosts.push_back({.name = host.String("name"), .address = host.String("http_address")});
    }
  }
  return hosts;
}

/** Requests the status of the hosts on which the version is not yet in force and updates them. */
void UpdateInForce(std::vector<live_host>& hosts, std::int64_t version) {
  for (std::size_t first = 0; first < hosts.size(); first += kMaxParallelRequests) {
    std::vector<std::future<void>> pending;
    for (std::size_t i = first; i < std::min(first + kMaxParallelRequests, hosts.size()); ++i) {
      if (!hosts[i].in_force) {
        pending.push_back(std::async(std::launch::async, [&host = hosts[i], version] {
          const auto host_version = FetchTableVersion(host.address);
          host.in_force = host_version && *host_version >= version;
        }));
      }
    }
    for (std::future<void>& request : pending) {
      request.get();
    }
  }
}

/**
 * Waits up to kInForceTimeout until all live hosts have the table version, prints on how many of
 * them it is in force and returns the exit code.
 */
exit_code AwaitInForce(host_client& client, const operator_options& options, std::int64_t version) {
  const instant deadline = MonotonicNow() + kInForceTimeout;
  std::vector<live_host> hosts = FetchLiveHosts(client);
  std::vector<std::string> missing;
  while (true) {
    UpdateInForce(hosts, version);
    missing.clear();
    for (const live_host& host : hosts) {
      if (!host.in_force) {
        missing.push_back(host.name);
      }
    }
    if (missing.empty() || MonotonicNow() >= deadline) {
      break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  const std::size_t in_force = hosts.size() - missing.size();
  if (options.json) {
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("verdict", "ran");
    object.set("version", version);
    object.set("in_force", in_force);
    object.set("hosts", hosts.size());
    Poco::JSON::Array::Ptr names = new Poco::JSON::Array;
    for (const std::string& name : missing) {
      names->add(name);
    }
    object.set("missing", names);
    object.stringify(std::cout);
  } else {
    std::cout << "stored as version " << version << "; in force on " << in_force << " of "
              << hosts.size() << " hosts; missing: ";
    for (const std::string& name : missing) {
      std::cout << (&name == &missing.front() ? "" : ", ") << name;
    }
    std::cout << (missing.empty() ? "none" : "");
  }
  std::cout << "\n";
  return missing.empty() && !hosts.empty() ? exit_code::success : exit_code::partial;
}

exit_code ExitCodeFor(const http_reply& reply) {
  if (reply.status == 504) {
    return exit_code::may_have_run;
  }
  return reply.status == 400 || reply.status == 413 ? exit_code::usage : exit_code::not_run;
}

}  // namespace

void AddAuthorOption(po::options_description& options) {
  const char* login = std::getenv("USER");
  options.add_options()("author",
                        po::value<std::string>()->default_value(login == nullptr ? "" : login),
                        "who makes the edit");
}

edit_request MakeEdit(const operator_options& options, const std::string& summary) {
  std::random_device random;
  std::ostringstream id;
  id << std::hex << WallNow().time_since_epoch().count() << "-" << random() << random();
  return {.id = id.str(),
          .author = options.values["author"].as<std::string>(),
          .summary = summary,
          .time_ms = 0,
          .base_version = 0,
          .changes = {}};
}

exit_code SendEdit(const operator_options& options, const std::string& body) {
  host_client client(options.hosts);
  // Longer than a host takes for all its attempts to store the edit when the key-value service is
  // slow.
  constexpr duration kEditTimeout = std::chrono::seconds(20);
  const auto reply = client.Send({.address = {},
                                  .method = "POST",
                                  .path = "/v1/table",
                                  .body = body,
                                  .time_limit = kEditTimeout},
                                 resend::allowed);
  if (!reply) {
    std::cerr << reply.error().message << "\n";
    return reply.error().code == errc::connection_failed ? exit_code::unreachable
                                                         : exit_code::may_have_run;
  }
  const auto root = json_reader::ParseText(reply->body, "answer");
  if (reply->status != 200 || !root) {
    if (options.json) {
      std::cout << reply->body << "\n";
    }
    std::cerr << (reply->status == 504 ? "outcome unknown: " : "refused: ") << ErrorMessage(*reply);
    if (root) {
      for (const std::string& row : json_reader(*root, "").StringsOrEmpty("conflicting_rows")) {
        std::cerr << "\n  conflicting row: " << row;
      }
    }
    std::cerr << "\n";
    return ExitCodeFor(*reply);
  }
  const auto version =
      json_reader(*root, "").IntegerOr("version", 0, std::numeric_limits<std::int64_t>::max(), 0);
  return AwaitInForce(client, options, version);
}

}  // namespace limpetlever
