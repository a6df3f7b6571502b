#ifndef LIMPETLEVER_TRANSPORT_HTTP_FETCH_H_
#define LIMPETLEVER_TRANSPORT_HTTP_FETCH_H_

#include <map>
#include <string>

#include "base/result.h"
#include "base/time_types.h"

namespace limpetlever {

/** An HTTP response as a value. */
struct http_reply {
  int status = 0;
  std::string body;
  /** Header names in lower case. */
  std::map<std::string, std::string> headers;

  bool operator==(const http_reply&) const = default;
};

/** An HTTP request to `address` ("IP:port"). */
struct http_fetch_request {
  std::string address;
  std::string method = "GET";
  std::string path;
  std::string body;
  std::map<std::string, std::string> headers;
  /** Time for the connection and for each wait for bytes. */
  duration time_limit = std::chrono::seconds(2);
};

/**
 * Sends one request on a connection of its own. Failures: connection_failed (nothing was sent),
 * connection_lost (the request may have arrived).
 */
result<http_reply> HttpFetch(const http_fetch_request& call);

/** The header's value, or "" if it is absent. `name` in lower case. */
std::string HeaderValue(const http_reply& reply, const std::string& name);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_HTTP_FETCH_H_
