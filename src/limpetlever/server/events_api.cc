#include "server/events_api.h"

#include <charconv>
#include <cstdint>
#include <limits>
#include <string>

#include "base/errc.h"
#include "base/result.h"
#include "events/events_json.h"
#include "server/api_format.h"
#include "server/host_server.h"
#include "transport/monotonic_clock.h"

namespace limpetlever {

namespace {

result<std::uint64_t> ParseNumberParameter(const api_request& request,
                                           const std::string& name,
                                           std::uint64_t min,
                                           std::uint64_t max,
                                           std::uint64_t fallback) {
  const auto found = request.parameters.find(name);
  if (found == request.parameters.end()) {
    return fallback;
  }
  const std::string& text = found->second;
  std::uint64_t value = 0;
  const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || stop != text.data() + text.size() || value < min || value > max) {
    return failure{errc::invalid_input, name + " found \"" + text + "\"; allowed: " +
                                            std::to_string(min) + " to " + std::to_string(max)};
  }
  return value;
}

}  // namespace

api_response events_api::Get(const api_request& request) {
  const auto after =
      ParseNumberParameter(request, "after", 0, std::numeric_limits<std::int64_t>::max(), 0);
  const auto max_events = ParseNumberParameter(request, "most", 1, 8192, 1000);
  if (!after || !max_events) {
    return ErrorResponse(400, (after ? max_events : after).error().message);
  }
  host_events report{.host = server_.state().self().name,
                     .data_centre = server_.state().self().data_centre,
                     .now = {},
                     .events = server_.events().Read(*after, *max_events)};
  report.now = WallNow();
  return {.status = 200, .body = FormatHostEvents(report)};
}

}  // namespace limpetlever
