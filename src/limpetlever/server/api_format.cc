#include "server/api_format.h"

#include <sstream>

namespace limpetlever {

std::string FormatJson(const Poco::JSON::Object& object) {
  std::ostringstream out;
  object.stringify(out);
  return out.str();
}

Poco::JSON::Array::Ptr MakeJsonArray(const std::vector<std::string>& values) {
  Poco::JSON::Array::Ptr array = new Poco::JSON::Array;
  for (const std::string& value : values) {
    array->add(value);
  }
  return array;
}

api_response ErrorResponse(int status, const std::string& message) {
  Poco::JSON::Object object(Poco::JSON_PRESERVE_KEY_ORDER);
  object.set("verdict", "not_run");
  object.set("error", message);
  return {.status = status, .body = FormatJson(object)};
}

int HttpStatus(const verdict& outcome) {
  switch (outcome.state) {
    case run_state::ran:
      return 200;
    case run_state::not_run:
      return 503;
    case run_state::may_have_run:
      return 504;
  }
  return 504;
}

}  // namespace limpetlever
