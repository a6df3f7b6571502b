#ifndef LIMPETLEVER_COMMANDS_REQUEST_COMMAND_H_
#define LIMPETLEVER_COMMANDS_REQUEST_COMMAND_H_

#include <string>

#include "commands/exit_code.h"
#include "commands/host_client.h"
#include "commands/operator_options.h"

namespace limpetlever {

/**
 * Sends a query or submission to a host that GET /v1/hosts recommends, prints the answer and
 * returns the matching exit code.
 */
exit_code SendRequest(const operator_options& options,
                      const std::string& path,
                      const std::string& body,
                      int deadline_ms,
                      resend on_lost_answer);

}  // namespace limpetlever

#endif  // LIMPETLEVER_COMMANDS_REQUEST_COMMAND_H_
