#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include "node/node_server.h"
#include "node/node_settings.h"

namespace {

namespace options = boost::program_options;

constexpr int kOk = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;
constexpr const char* kSettingsVariable = "LIMPETLEVER_BOOT";

int Serve(const std::string& path) {
  const auto settings = limpetlever::ReadNodeSettings(path);
  if (!settings) {
    std::cerr << settings.error().message << "\n";
    return kFailed;
  }
  auto server = limpetlever::node_server::Create(path, *settings);
  if (!server) {
    std::cerr << server.error().message << "\n";
    return kFailed;
  }
  server.value()->Run();
  return kOk;
}

int CheckSettings(const std::string& path) {
  const auto settings = limpetlever::ReadNodeSettings(path);
  if (!settings) {
    std::cerr << settings.error().message << "\n";
    return kFailed;
  }
  std::cout << path << ": valid, host " << settings->name << "\n";
  return kOk;
}

}  // namespace

int main(int argc, char** argv) {
  // A write to a connection that the peer has closed then fails with EPIPE and does not end the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  options::options_description visible(
      "limpetlever-node serve|check-settings [--settings FILE]\nOptions");
  visible.add_options()("help", "print this text")(
      "settings", options::value<std::string>(),
      "settings file in JSON with comments; default: the file that LIMPETLEVER_BOOT names");
  options::options_description all;
  all.add(visible).add_options()("command", options::value<std::string>());
  options::positional_options_description positions;
  positions.add("command", 1);
  options::variables_map values;
  try {
    options::store(
        options::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
  } catch (const options::error& error) {
    std::cerr << error.what() << "\n" << visible;
    return kUsage;
  }
  if (values.count("help") != 0) {
    std::cout << visible;
    return kOk;
  }
  const char* variable = std::getenv(kSettingsVariable);
  std::string path = variable == nullptr ? "" : variable;
  if (values.count("settings") != 0) {
    path = values["settings"].as<std::string>();
  }
  const std::string command =
      values.count("command") != 0 ? values["command"].as<std::string>() : "";
  if (path.empty() || (command != "serve" && command != "check-settings")) {
    std::cerr << visible;
    return kUsage;
  }
  return command == "serve" ? Serve(path) : CheckSettings(path);
}
