#ifndef LIMPETLEVER_COMMANDS_HOST_CLIENT_H_
#define LIMPETLEVER_COMMANDS_HOST_CLIENT_H_

#include <string>
#include <utility>
#include <vector>

#include "base/result.h"
#include "base/time_types.h"
#include "transport/http_fetch.h"

namespace limpetlever {

/** Whether a request whose answer was lost may be sent to another host. */
enum class resend { never, allowed };

/** Sends requests to the first of several hosts that answers. */
class host_client {
 public:
  explicit host_client(std::vector<std::string> hosts) : hosts_(std::move(hosts)) {}

  /**
   * `call.address` is filled in. Failures: connection_failed (no host could be reached),
   * connection_lost (the request may have arrived; only with resend::never or when all were lost).
   */
  result<http_reply> Send(http_fetch_request call, resend after_loss);

  /** Replaces the hosts by those that GET /v1/hosts advises; keeps the old ones behind them. */
  void FollowAdvice();

 private:
  std::vector<std::string> hosts_;
};

/** The field "error" of an answer, or its status if there is none. */
std::string ErrorOf(const http_reply& reply);

}  // namespace limpetlever

#endif  // LIMPETLEVER_COMMANDS_HOST_CLIENT_H_
