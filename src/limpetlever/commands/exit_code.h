#ifndef LIMPETLEVER_COMMANDS_EXIT_CODE_H_
#define LIMPETLEVER_COMMANDS_EXIT_CODE_H_

namespace limpetlever {

/** Exit codes of all subcommands, as documented in docs/operators/command-line.md. */
enum class exit_code {
  success = 0,
  /** The request certainly did not run, or the edit was not made. */
  not_run = 1,
  /** Wrong options or invalid input. */
  usage = 2,
  /** The request may have run, or the edit may have been made. */
  may_have_run = 3,
  /** The answer is partial, or the edit is stored but not yet in force on every host. */
  partial = 4,
  /** No host answered. */
  unreachable = 5,
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_COMMANDS_EXIT_CODE_H_
