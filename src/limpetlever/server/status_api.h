#ifndef LIMPETLEVER_SERVER_STATUS_API_H_
#define LIMPETLEVER_SERVER_STATUS_API_H_

#include "server/api_request.h"
#include "server/api_response.h"

namespace limpetlever {

class bad_input_log;
class host_server;

/** Serves /v1/status: the hosts, data centres, services and replicas as this host knows them. */
class status_api {
 public:
  status_api(host_server& server, const bad_input_log& bad_input)
      : server_(server), bad_input_(bad_input) {}

  /**
   * With the parameter `brief`=1 the lists are omitted and only the state and versions of this host
   * are returned: a command that waits for an edit to take effect polls every host several times.
   */
  api_response Get(const api_request& request);

 private:
  host_server& server_;
  const bad_input_log& bad_input_;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_STATUS_API_H_
