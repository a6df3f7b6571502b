#include "commands/command_line.h"

#include <boost/program_options/errors.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "commands/command.h"

namespace limpetlever {

namespace {

const std::vector<command>& Commands() {
  static const auto* commands = new std::vector<command>{
      {"serve", "run the daemon of an entry host", RunServe},
      {"query", "send a query", RunQuery},
      {"submit", "send a submission that runs at most once", RunSubmit},
      {"table", "get, put or edit the operators' table, or show its history", RunTable},
      {"data-centre", "take a data centre out or in", RunDataCentre},
      {"host", "take a host out or in", RunHost},
      {"backend-server", "take a backend server out or in", RunBackendServer},
      {"status", "show hosts, services, replicas and their limits", RunStatus},
      {"timeline", "show the events of all hosts merged into one timeline", RunTimeline},
      {"check-table", "check a table without storing it", RunCheckTable},
      {"check-settings", "check a settings file without starting", RunCheckSettings},
  };
  return *commands;
}

void PrintHelp(std::ostream& out) {
  out << "Usage: limpetlever COMMAND [OPTIONS]\n\nCommands:\n";
  for (const command& item : Commands()) {
    out << "  " << item.name << std::string(16 - item.name.size(), ' ') << item.summary << "\n";
  }
  out << "\nFor the options of a command: limpetlever COMMAND --help\n";
}

}  // namespace

int RunCommandLine(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.empty() || arguments.front() == "--help") {
    PrintHelp(arguments.empty() ? std::cerr : std::cout);
    return static_cast<int>(arguments.empty() ? exit_code::usage : exit_code::success);
  }
  for (const command& item : Commands()) {
    if (item.name != arguments.front()) {
      continue;
    }
    try {
      return static_cast<int>(item.run({arguments.begin() + 1, arguments.end()}));
    } catch (const boost::program_options::error& error) {
      std::cerr << "limpetlever " << item.name << ": " << error.what() << "\n";
      return static_cast<int>(exit_code::usage);
    }
  }
  std::cerr << "limpetlever: unknown command \"" << arguments.front() << "\"\n";
  PrintHelp(std::cerr);
  return static_cast<int>(exit_code::usage);
}

}  // namespace limpetlever
