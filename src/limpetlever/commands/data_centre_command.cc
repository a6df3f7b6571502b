#include "commands/command.h"
#include "commands/take_out.h"

namespace limpetlever {

exit_code RunDataCentre(const std::vector<std::string>& arguments) {
  return RunTakeOutOrIn("data-centre", "data_centre", "NAME", arguments);
}

}  // namespace limpetlever
