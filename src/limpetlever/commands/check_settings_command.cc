#include "commands/check_file.h"
#include "commands/command.h"
#include "settings/host_settings.h"

namespace limpetlever {

namespace {

result<std::string> Check(const std::string& text, const std::string& path) {
  const auto settings = ParseHostSettings(text, path);
  if (!settings) {
    return settings.error();
  }
  return "valid settings of host " + settings->name;
}

}  // namespace

exit_code RunCheckSettings(const std::vector<std::string>& arguments) {
  return RunCheck("check-settings", arguments, Check);
}

}  // namespace limpetlever
