#include <criterion/criterion.h>

#include <string>

#include "node/node_settings.h"

using namespace limpetlever;

namespace {

constexpr const char* kValidSettings = R"({
  // a comment
  "name": "h1", "region": "r", "data_centre": "d",
  "caller_address": "10.0.0.1:80", "readiness_address": "10.0.0.1:81",
  "peer_address": "10.0.0.1:82", "metrics_address": "10.0.0.1:83", "store_address": "10.0.0.2:80",
  "processor_share": 0.17, "grace_s": 6, "retry_ratio": 0.2, "retry_slack": 104,
  "server_heartbeat_ms": 800, "memory_mb": 182})";

std::string ReplaceInSettings(const std::string& from, const std::string& to) {
  std::string text = kValidSettings;
  text.replace(text.find(from), from.size(), to);
  return text;
}

}  // namespace

// Guards against a field that is read in the wrong unit.
Test(node_settings, all_fields) {
  const auto settings = ParseNodeSettings(kValidSettings, "file");
  cr_assert(settings);
  cr_assert(settings->name == "h1" && settings->data_centre == "d");
  cr_assert(settings->caller_address == (socket_address{"10.0.0.1", 80}));
  cr_assert(!settings->directory_address);
  cr_assert(settings->processor_share == 170);
  cr_assert(settings->grace_time == std::chrono::seconds(6));
  cr_assert(settings->retry_slack == 104.0);
  cr_assert(settings->server_heartbeat == std::chrono::milliseconds(800));
  cr_assert(settings->max_memory == std::size_t{182} * 1024 * 1024);
}

// Guards against a process that starts with invalid settings instead of reporting the first error.
Test(node_settings, the_first_error_names_its_field) {
  for (const auto& [text, field] :
       {std::pair{ReplaceInSettings("\"10.0.0.1:80\"", "\"localhost:80\""), "caller_address"},
        std::pair{ReplaceInSettings("\"name\": \"h1\"", "\"name\": \"\""), "name"},
        std::pair{ReplaceInSettings("0.2,", "2,"), "retry_ratio"},
        std::pair{ReplaceInSettings("\"grace_s\": 6", "\"grace_s\": 0"), "grace_s"},
        std::pair{ReplaceInSettings("800", "0"), "server_heartbeat_ms"},
        std::pair{ReplaceInSettings("182", "15.9"), "memory_mb"},
        std::pair{ReplaceInSettings("182", "1e300"), "memory_mb"},
        std::pair{ReplaceInSettings("0.17", "\"x\""), "processor_share"}}) {
    const auto settings = ParseNodeSettings(text, "file");
    cr_assert(!settings);
    cr_assert(settings.error().message.find(field) != std::string::npos, "%s",
              settings.error().message.c_str());
  }
  cr_assert(!ParseNodeSettings("{", "file"));
}
