#ifndef LIMPETLEVER_TRANSPORT_HTTP_FETCH_H_
#define LIMPETLEVER_TRANSPORT_HTTP_FETCH_H_

#include <map>
#include <string>

#include "base/result.h"
#include "base/time_types.h"

namespace limpetlever {

/** A complete HTTP response. */
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
  /** Limit of connecting and of each wait for bytes, not of the whole call. */
  duration time_limit = std::chrono::seconds(2);
};

/**
 * Sends one request over a new connection and waits for the response. Failures: connection_failed
 * (nothing was sent), connection_lost (the request may have arrived).
 */
result<http_reply> HttpFetch(const http_fetch_request& call);

/** The value of a header, or "" if it is absent. `name` must be in lower case. */
std::string HeaderValue(const http_reply& reply, const std::string& name);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_HTTP_FETCH_H_
