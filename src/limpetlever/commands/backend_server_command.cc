#include "commands/command.h"
#include "commands/take_out.h"

namespace limpetlever {

exit_code RunBackendServer(const std::vector<std::string>& arguments) {
  return RunTakeOutOrIn("backend-server", "backend_server", "ADDRESS", arguments);
}

}  // namespace limpetlever
