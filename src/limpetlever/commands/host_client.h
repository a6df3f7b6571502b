#ifndef LIMPETLEVER_COMMANDS_HOST_CLIENT_H_
#define LIMPETLEVER_COMMANDS_HOST_CLIENT_H_

#include <string>
#include <utility>
#include <vector>

#include "base/result.h"
#include "base/time_types.h"
#include "transport/http_fetch.h"

namespace limpetlever {

/** Whether a request whose answer was lost may be sent again, to another host. */
enum class resend { never, allowed };

/** Sends requests to several hosts in order until one of them answers. */
class host_client {
 public:
  explicit host_client(std::vector<std::string> hosts) : hosts_(std::move(hosts)) {}

  /**
   * Sends the request to each host in turn until one answers; `call.address` is overwritten. Fails
   * with connection_failed if no host received the request, or with connection_lost if a connection
   * broke after the request may have reached a host. With resend::never the first lost connection
   * ends the attempt.
   */
  result<http_reply> Send(http_fetch_request call, resend on_lost_answer);

  /**
   * Puts the hosts that GET /v1/hosts recommends before the current ones, which stay as a fallback.
   * Changes nothing if the list cannot be read.
   */
  void PreferRecommendedHosts();

 private:
  std::vector<std::string> hosts_;
};

/** Returns the field "error" of an answer, or its HTTP status if there is no such field. */
std::string ErrorMessage(const http_reply& reply);

}  // namespace limpetlever

#endif  // LIMPETLEVER_COMMANDS_HOST_CLIENT_H_
