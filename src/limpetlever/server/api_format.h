#ifndef LIMPETLEVER_SERVER_API_FORMAT_H_
#define LIMPETLEVER_SERVER_API_FORMAT_H_

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <string>
#include <vector>

#include "base/verdict.h"
#include "server/api_response.h"

namespace limpetlever {

/** The object as JSON text. */
std::string FormatJson(const Poco::JSON::Object& object);

/** The strings as a JSON array. */
Poco::JSON::Array::Ptr MakeJsonArray(const std::vector<std::string>& values);

/** Response to a refused request, which did not run; the body holds verdict and `message`. */
api_response ErrorResponse(int status, const std::string& message);

/** HTTP status of an outcome: 200 for ran, 503 for not_run, 504 for may_have_run. */
int HttpStatus(const verdict& outcome);

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_API_FORMAT_H_
