#ifndef LIMPETLEVER_SERVER_API_RESPONSE_H_
#define LIMPETLEVER_SERVER_API_RESPONSE_H_

#include <string>

namespace limpetlever {

/** The HTTP response to an api_request. */
struct api_response {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";

  bool operator==(const api_response&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_API_RESPONSE_H_
