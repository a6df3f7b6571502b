#ifndef LIMPETLEVER_SERVER_API_REQUEST_H_
#define LIMPETLEVER_SERVER_API_REQUEST_H_

#include <map>
#include <string>

namespace limpetlever {

/** An HTTP request of a caller or operator, fully read. */
struct api_request {
  std::string method;
  std::string path;
  /** Query parameters of the URI; of several with one name, the first. */
  std::map<std::string, std::string> parameters;
  std::string body;
  /** The query parameter "caller", or without it the client's IP address. */
  std::string caller;

  bool operator==(const api_request&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_API_REQUEST_H_
