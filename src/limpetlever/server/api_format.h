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

/** A refusal: the request did not run. */
api_response ErrorResponse(int status, const std::string& message);

/** 200 ran, 503 not_run, 504 may_have_run. */
int HttpStatus(const verdict& outcome);

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_API_FORMAT_H_
