#ifndef LIMPETLEVER_COMMANDS_COMMAND_H_
#define LIMPETLEVER_COMMANDS_COMMAND_H_

#include <string>
#include <vector>

#include "commands/exit_code.h"

namespace limpetlever {

/** A subcommand of the program limpetlever. */
struct command {
  std::string name;
  std::string summary;
  /** `arguments` are the arguments after the name of the subcommand. */
  exit_code (*run)(const std::vector<std::string>& arguments);
};

/** Run the subcommands; each prints its options if it is given --help. */
exit_code RunServe(const std::vector<std::string>& arguments);
exit_code RunQuery(const std::vector<std::string>& arguments);
exit_code RunSubmit(const std::vector<std::string>& arguments);
exit_code RunTable(const std::vector<std::string>& arguments);
exit_code RunDataCentre(const std::vector<std::string>& arguments);
exit_code RunHost(const std::vector<std::string>& arguments);
exit_code RunBackendServer(const std::vector<std::string>& arguments);
exit_code RunStatus(const std::vector<std::string>& arguments);
exit_code RunTimeline(const std::vector<std::string>& arguments);
exit_code RunCheckTable(const std::vector<std::string>& arguments);
exit_code RunCheckSettings(const std::vector<std::string>& arguments);

}  // namespace limpetlever

#endif  // LIMPETLEVER_COMMANDS_COMMAND_H_
