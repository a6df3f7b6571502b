#include "commands/read_file.h"

#include <cerrno>
#include <fstream>
#include <sstream>

namespace limpetlever {

result<std::string> ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    const std::error_code code(errno, std::generic_category());
    return failure{code, path + ": " + code.message()};
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace limpetlever
