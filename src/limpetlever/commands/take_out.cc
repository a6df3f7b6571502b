#include "commands/take_out.h"

#include "commands/send_edit.h"
#include "table/edit_json.h"

namespace limpetlever {

namespace po = boost::program_options;

exit_code RunTakeOutOrIn(const std::string& command,
                         const std::string& kind,
                         const std::string& placeholder,
                         const std::vector<std::string>& arguments) {
  po::options_description command_options;
  AddAuthorOption(command_options);
  command_options.add_options()("direction", po::value<std::string>()->required(), "out or in")(
      "name", po::value<std::string>()->required(), ("the " + placeholder).c_str());
  po::positional_options_description positional;
  positional.add("direction", 1).add("name", 1);
  const auto options =
      ParseOptions(arguments, command + " out|in " + placeholder + " --host IP:port",
                   command_options, positional);
  if (!options) {
    return exit_code::success;
  }
  const auto direction = options->values["direction"].as<std::string>();
  const auto name = options->values["name"].as<std::string>();
  if (direction != "out" && direction != "in") {
    throw po::error("found \"" + direction + "\"; allowed: out, in");
  }
  edit_request edit = MakeEdit(*options, command + " " + direction + " " + name);
  edit.changes.emplace_back(set_taken_out{kind + "/" + name, direction == "out"});
  return SendEdit(*options, FormatEditJson(edit));
}

}  // namespace limpetlever
