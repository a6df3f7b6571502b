#ifndef LIMPETLEVER_SERVER_HTTP_API_H_
#define LIMPETLEVER_SERVER_HTTP_API_H_

#include <cstddef>
#include <string>

#include "server/api_request.h"
#include "server/api_response.h"
#include "server/events_api.h"
#include "server/status_api.h"
#include "server/table_api.h"

namespace limpetlever {

class bad_input_log;
class host_server;

/** Answers the HTTP requests of callers and operators; see docs/callers.md. */
class http_api {
 public:
  http_api(host_server& server, const bad_input_log& bad_input)
      : server_(server), table_(server), events_(server), status_(server, bad_input) {}

  /** Safe for use by several threads. */
  api_response Handle(const api_request& request);

  /** Upper limit of the body of this request, in bytes. */
  std::size_t MaxBodyBytes(const api_request& request) const;

  /** The methods of a path in the form of the header Allow; "" if the path is unknown. */
  static std::string AllowedMethods(const std::string& path);

 private:
  api_response HandleHosts(const api_request& request);
  api_response HandleSubmit(const api_request& request);
  api_response HandleSubmission(const api_request& request);
  api_response HandleQuery(const api_request& request);

  host_server& server_;
  table_api table_;
  events_api events_;
  status_api status_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_HTTP_API_H_
