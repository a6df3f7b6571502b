#include <Poco/JSON/Object.h>

#include <sstream>

#include "commands/command.h"
#include "commands/request_command.h"

namespace limpetlever {

namespace po = boost::program_options;

exit_code RunQuery(const std::vector<std::string>& arguments) {
  po::options_description command_options;
  command_options.add_options()("workload", po::value<std::string>()->required(),
                                "workload to query")(
      "body", po::value<std::string>()->default_value(""), "text sent to every shard")(
      "deadline-ms", po::value<int>()->default_value(0),
      "time limit, in milliseconds; 0: the default of the workload")(
      "urgency", po::value<std::string>()->default_value("normal"), "normal or urgent")(
      "wanted-coverage", po::value<double>()->default_value(1.0),
      "wanted share of the shards, 0 to 1");
  const auto options = ParseOptions(arguments, "query --workload NAME --body TEXT --host IP:port",
                                    command_options, {});
  if (!options) {
    return exit_code::success;
  }
  Poco::JSON::Object body(Poco::JSON_PRESERVE_KEY_ORDER);
  body.set("workload", options->values["workload"].as<std::string>());
  body.set("body", options->values["body"].as<std::string>());
  const int deadline_ms = options->values["deadline-ms"].as<int>();
  if (deadline_ms != 0) {
    body.set("deadline_ms", deadline_ms);
  }
  body.set("urgency", options->values["urgency"].as<std::string>());
  body.set("wanted_coverage", options->values["wanted-coverage"].as<double>());
  std::ostringstream text;
  body.stringify(text);
  return SendRequest(*options, "/v1/query", text.str(), deadline_ms, resend::allowed);
}

}  // namespace limpetlever
