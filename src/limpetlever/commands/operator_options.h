#ifndef LIMPETLEVER_COMMANDS_OPERATOR_OPTIONS_H_
#define LIMPETLEVER_COMMANDS_OPERATOR_OPTIONS_H_

#include <boost/program_options.hpp>
#include <optional>
#include <string>
#include <vector>

namespace limpetlever {

/** Parsed options of a command that sends requests to hosts. */
struct operator_options {
  /** Addresses ("IP:port") of the hosts to try, in order. */
  std::vector<std::string> hosts;
  bool json = false;
  boost::program_options::variables_map values;
};

/**
 * Parses `arguments` with the options that all such commands share (--help, --host, --output) and
 * those in `command_options`; `positional` assigns arguments without an option name to options. On
 * --help prints the help and returns nullopt. Throws boost::program_options::error on wrong
 * options.
 */
std::optional<operator_options> ParseOptions(
    const std::vector<std::string>& arguments,
    const std::string& usage,
    const boost::program_options::options_description& command_options,
    const boost::program_options::positional_options_description& positional);

}  // namespace limpetlever

#endif  // LIMPETLEVER_COMMANDS_OPERATOR_OPTIONS_H_
