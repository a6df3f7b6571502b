#include <criterion/criterion.h>

#include <set>
#include <string>

#include "settings/host_settings.h"

using namespace limpetlever;

namespace {

const std::string kValidSettings =
    R"({"name":"h","region":"r","data_centre":"d","http_address":"127.0.0.1:1",)"
    R"("peer_address":"127.0.0.1:2","key_value_address":"127.0.0.1:3",)"
    R"("host_list_address":"127.0.0.1:4","http_threads":8})";

struct invalid_case {
  const char* from;
  const char* to;
  const char* message;
};

}  // namespace

// Guards against an error in the settings being ignored or reported for the wrong field.
Test(broken_settings, each_error_has_its_own_message) {
  cr_assert(ParseHostSettings(kValidSettings, "f"));
  const invalid_case cases[] = {
      {"\"http_threads\"", "\"http_thread\"", "f: http_thread is not a known key"},
      {"\"name\":\"h\",", "", "f: name is missing"},
      {"\"name\":\"h\"", "\"name\":5", "f: name must be a string; found 5"},
      {"\"name\":\"h\"", "\"name\":\"a b\"",
       "f: name found \"a b\"; allowed: a name without spaces and slashes"},
      {"127.0.0.1:1\"", "127.0.0.1\"",
       "f: http_address found \"127.0.0.1\"; allowed: an IPv4 number and a port, as in "
       "127.0.0.1:8080"},
      {"127.0.0.1:2\"", "host:2\"",
       "f: peer_address found \"host:2\"; allowed: an IPv4 number and a port, as in "
       "127.0.0.1:8080"},
      {"127.0.0.1:3\"", "127.0.0.1:70000\"",
       "f: key_value_address found \"127.0.0.1:70000\"; allowed: an IPv4 number and a port, as in "
       "127.0.0.1:8080"},
      {":8}", ":1}", "f: http_threads found 1; allowed: 2 to 4096"},
      {":8}", ":\"8\"}", "f: http_threads must be a whole number; found \"8\""},
      {"\"region\":\"r\"", "\"region\":null", "f: region is missing"},
  };
  std::set<std::string> messages;
  for (const invalid_case& invalid : cases) {
    std::string text = kValidSettings;
    text.replace(text.find(invalid.from), std::string(invalid.from).size(), invalid.to);
    const auto parsed = ParseHostSettings(text, "f");
    cr_assert(!parsed);
    cr_assert(parsed.error().message == invalid.message, "%s", parsed.error().message.c_str());
    cr_assert(messages.insert(parsed.error().message).second);
  }
  cr_assert(!ParseHostSettings("{", "f"));
  cr_assert(!ParseHostSettings("[]", "f"));
}
