#include "commands/command.h"
#include "commands/take_out.h"

namespace limpetlever {

exit_code RunHost(const std::vector<std::string>& arguments) {
  return RunTakeOutOrIn("host", "host", "NAME", arguments);
}

}  // namespace limpetlever
