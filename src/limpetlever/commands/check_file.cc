#include "commands/check_file.h"

#include <Poco/JSON/Object.h>

#include <boost/program_options.hpp>
#include <iostream>

#include "commands/read_file.h"

namespace limpetlever {

namespace po = boost::program_options;

exit_code RunCheck(const std::string& command,
                   const std::vector<std::string>& arguments,
                   const file_check& check) {
  po::options_description options("Usage: limpetlever " + command + " FILE\n\nOptions");
  options.add_options()("help", "print this text")("file", po::value<std::string>()->required(),
                                                   "file to check")(
      "output", po::value<std::string>()->default_value("text"), "text or json");
  po::positional_options_description positional;
  positional.add("file", 1);
  po::variables_map values;
  po::store(po::command_line_parser(arguments).options(options).positional(positional).run(),
            values);
  if (values.count("help") > 0) {
    std::cout << options << "\nExit codes: 0 valid, 2 wrong options or an invalid file.\n";
    return exit_code::success;
  }
  po::notify(values);
  const auto output = values["output"].as<std::string>();
  if (output != "text" && output != "json") {
    throw po::error("--output \"" + output + "\": allowed: text, json");
  }
  const auto path = values["file"].as<std::string>();
  const auto text = ReadFile(path);
  const auto summary = text ? check(*text, path) : result<std::string>(text.error());
  if (output == "json") {
    Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
    object.set("file", path);
    object.set("valid", static_cast<bool>(summary));
    object.set("error", summary ? "" : summary.error().message);
    object.stringify(std::cout);
    std::cout << "\n";
  } else if (summary) {
    std::cout << path << ": " << *summary << "\n";
  } else {
    std::cerr << summary.error().message << "\n";
  }
  return summary ? exit_code::success : exit_code::usage;
}

}  // namespace limpetlever
