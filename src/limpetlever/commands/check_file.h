#ifndef LIMPETLEVER_COMMANDS_CHECK_FILE_H_
#define LIMPETLEVER_COMMANDS_CHECK_FILE_H_

#include <functional>
#include <string>
#include <vector>

#include "base/result.h"
#include "commands/exit_code.h"

namespace limpetlever {

/** Checks the text of a file and returns a summary of it. Error messages begin with `path`. */
using file_check =
    std::function<result<std::string>(const std::string& text, const std::string& path)>;

/**
 * Runs `COMMAND FILE [--output text|json]`, which checks a file without applying it, and prints the
 * summary or the error.
 */
exit_code RunCheck(const std::string& command,
                   const std::vector<std::string>& arguments,
                   const file_check& check);

}  // namespace limpetlever

#endif  // LIMPETLEVER_COMMANDS_CHECK_FILE_H_
