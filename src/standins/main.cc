#include <pthread.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <vector>

#include "backend_server.h"
#include "backend_settings_json.h"
#include "base/json_reader.h"
#include "control_service.h"
#include "host_list_service.h"
#include "key_value_service.h"

namespace {

namespace po = boost::program_options;
using namespace limpetlever;

result<std::vector<backend_settings>> ReadConfiguration(const std::string& path) {
  if (path.empty()) {
    return std::vector<backend_settings>();
  }
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  const auto root = json_reader::ParseText(text, path);
  if (!root) {
    return root.error();
  }
  json_reader in(*root, "");
  std::vector<backend_settings> servers;
  for (json_reader& item : in.ObjectsOrEmpty("servers")) {
    servers.push_back(ParseBackendSettings(item, {}));
    in.TakeErrorFrom(item);
  }
  if (const auto error = in.Finish()) {
    return failure{error->code, path + ": " + error->message};
  }
  return servers;
}

}  // namespace

int main(int argc, char** argv) {
  po::options_description options(
      "limpetlever-standins: stand-ins for the platform and the backend servers, for tests and the "
      "demo");
  options.add_options()("key-value-port", po::value<int>()->default_value(0),
                        "port of the key-value service; 0: none")(
      "host-list-port", po::value<int>()->default_value(0), "port of the host list; 0: none")(
      "control-port", po::value<int>()->default_value(0),
      "port for fault injection and records; 0: none")("configuration",
                                                       po::value<std::string>()->default_value(""),
                                                       "JSON file with the backend servers")(
      "seed", po::value<unsigned>()->default_value(1), "seed of the random choice of stragglers");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  const auto servers = ReadConfiguration(values["configuration"].as<std::string>());
  if (!servers) {
    std::cerr << servers.error().message << "\n";
    return 2;
  }
  const std::string ip = "127.0.0.1";
  std::unique_ptr<key_value_service> store;
  std::unique_ptr<host_list_service> hosts;
  std::vector<std::unique_ptr<backend_server>> backends;
  std::unique_ptr<control_service> control;
  if (const int port = values["key-value-port"].as<int>(); port > 0) {
    store = std::make_unique<key_value_service>(ip, port);
  }
  if (const int port = values["host-list-port"].as<int>(); port > 0) {
    hosts = std::make_unique<host_list_service>(ip, port);
  }
  std::uint64_t seed = values["seed"].as<unsigned>();
  for (const backend_settings& settings : *servers) {
    backends.push_back(std::make_unique<backend_server>(ip, settings, ++seed));
  }
  if (const int port = values["control-port"].as<int>(); port > 0) {
    control = std::make_unique<control_service>(ip, port, store.get(), hosts.get(), backends);
  }
  constexpr timespec kTickInterval{.tv_sec = 0, .tv_nsec = 10'000'000};
  while (sigtimedwait(&signals, nullptr, &kTickInterval) < 0) {
    for (const auto& server : backends) {
      server->Tick();
    }
  }
  return 0;
}
