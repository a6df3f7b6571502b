#ifndef LIMPETLEVER_COMMANDS_TAKE_OUT_H_
#define LIMPETLEVER_COMMANDS_TAKE_OUT_H_

#include <string>
#include <vector>

#include "commands/exit_code.h"

namespace limpetlever {

/**
 * Runs `COMMAND out|in NAME`, which takes the table row "KIND/NAME" out of service or back in.
 * `placeholder` stands for NAME in the help text.
 */
exit_code RunTakeOutOrIn(const std::string& command,
                         const std::string& kind,
                         const std::string& placeholder,
                         const std::vector<std::string>& arguments);

}  // namespace limpetlever

#endif  // LIMPETLEVER_COMMANDS_TAKE_OUT_H_
