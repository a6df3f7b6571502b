#ifndef LIMPETLEVER_COMMANDS_READ_FILE_H_
#define LIMPETLEVER_COMMANDS_READ_FILE_H_

#include <string>

#include "base/result.h"

namespace limpetlever {

/** Returns the content of the file; fails with the system's error if it cannot be opened. */
result<std::string> ReadFile(const std::string& path);

}  // namespace limpetlever

#endif  // LIMPETLEVER_COMMANDS_READ_FILE_H_
