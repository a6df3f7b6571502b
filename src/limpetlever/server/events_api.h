#ifndef LIMPETLEVER_SERVER_EVENTS_API_H_
#define LIMPETLEVER_SERVER_EVENTS_API_H_

#include "server/api_request.h"
#include "server/api_response.h"

namespace limpetlever {

class host_server;

/** Answers GET /v1/events with the events in this host's event log. */
class events_api {
 public:
  explicit events_api(host_server& server) : server_(server) {}

  /**
   * Events whose sequence number is above the parameter `after`, at most `most` of them (1 to 8192,
   * default 1000).
   */
  api_response Get(const api_request& request);

 private:
  host_server& server_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_EVENTS_API_H_
