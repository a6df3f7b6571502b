#include <criterion/criterion.h>

#include <array>
#include <string>

#include "events/log_field.h"
#include "events/log_line.h"

using namespace limpetlever;

// Guards against log lines without bound, whose texts come from another writer's entries.
Test(log_line, a_long_text_is_cut) {
  const std::string text(100'000, 'x');
  const std::array fields = {log_field{"message", std::string_view(text)}};
  std::string line;
  AppendLogLine(line, {.host = "h", .time = {}, .sequence = 1}, event_number::config_refused,
                fields);
  cr_assert(line.size() < 4096, "%zu bytes", line.size());
  cr_assert(line.find("xxx...\"}") != std::string::npos);
}
