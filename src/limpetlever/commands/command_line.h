#ifndef LIMPETLEVER_COMMANDS_COMMAND_LINE_H_
#define LIMPETLEVER_COMMANDS_COMMAND_LINE_H_

namespace limpetlever {

/** Runs the subcommand named by the first argument; returns the exit code of the process. */
int RunCommandLine(int argc, char** argv);

}  // namespace limpetlever

#endif  // LIMPETLEVER_COMMANDS_COMMAND_LINE_H_
