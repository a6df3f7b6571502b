#include <Poco/JSON/Object.h>

#include <sstream>

#include "commands/command.h"
#include "commands/request_command.h"

namespace limpetlever {

namespace po = boost::program_options;

exit_code RunSubmit(const std::vector<std::string>& arguments) {
  po::options_description command_options;
  command_options.add_options()("workload", po::value<std::string>()->required(),
                                "workload to submit to")(
      "key", po::value<std::string>()->required(),
      "key of the submission; runs at most once, also if sent again with the same key")(
      "body", po::value<std::string>()->default_value(""), "text of the submission")(
      "deadline-ms", po::value<int>()->default_value(2000), "time limit, in milliseconds");
  const auto options =
      ParseOptions(arguments, "submit --workload NAME --key KEY --body TEXT --host IP:port",
                   command_options, {});
  if (!options) {
    return exit_code::success;
  }
  Poco::JSON::Object body(Poco::JSON_PRESERVE_KEY_ORDER);
  body.set("workload", options->values["workload"].as<std::string>());
  body.set("key", options->values["key"].as<std::string>());
  body.set("body", options->values["body"].as<std::string>());
  const int deadline_ms = options->values["deadline-ms"].as<int>();
  body.set("deadline_ms", deadline_ms);
  std::ostringstream text;
  body.stringify(text);
  // After a lost answer the submission is not sent again: the operator sees the unknown outcome and
  // decides whether to send it again with the same key.
  return SendRequest(*options, "/v1/submit", text.str(), deadline_ms, resend::never);
}

}  // namespace limpetlever
