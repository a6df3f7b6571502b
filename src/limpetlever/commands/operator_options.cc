#include "commands/operator_options.h"

#include <iostream>

#include "base/socket_address.h"

namespace limpetlever {

namespace po = boost::program_options;

std::optional<operator_options> ParseOptions(const std::vector<std::string>& arguments,
                                             const std::string& usage,
                                             const po::options_description& command_options,
                                             const po::positional_options_description& positional) {
  po::options_description options("Usage: limpetlever " + usage + "\n\nOptions");
  options.add_options()("help", "print this text")(
      "host", po::value<std::vector<std::string>>()->composing()->required(),
      "IP:port of a host; may be repeated, hosts are tried in order")(
      "output", po::value<std::string>()->default_value("text"), "text or json");
  options.add(command_options);
  operator_options parsed;
  po::store(po::command_line_parser(arguments).options(options).positional(positional).run(),
            parsed.values);
  if (parsed.values.count("help") > 0) {
    std::cout << options
              << "\nExit codes: 0 done, 1 not run, 2 wrong options or refused input, 3 "
                 "may have run, 4 partial, 5 no host answered.\n";
    return std::nullopt;
  }
  po::notify(parsed.values);
  parsed.hosts = parsed.values["host"].as<std::vector<std::string>>();
  for (const std::string& host : parsed.hosts) {
    if (!ParseSocketAddress(host)) {
      throw po::error("--host \"" + host + "\": allowed: an IPv4 number and a port");
    }
  }
  const auto output = parsed.values["output"].as<std::string>();
  if (output != "text" && output != "json") {
    throw po::error("--output \"" + output + "\": allowed: text, json");
  }
  parsed.json = output == "json";
  return parsed;
}

}  // namespace limpetlever
