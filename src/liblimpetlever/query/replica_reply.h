#ifndef LIMPETLEVER_QUERY_REPLICA_REPLY_H_
#define LIMPETLEVER_QUERY_REPLICA_REPLY_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time_types.h"
#include "replicas/reported_load.h"
#include "replicas/server_notice.h"

namespace limpetlever {

/** Complete answer of a backend server to one attempt. */
struct replica_reply {
  int status = 0;
  /** The server's signature of the answer; empty if it has none. */
  std::string signature;
  /** Header fields that are passed on to the caller. */
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  /** Whether the server declared that it did not run the request. */
  bool is_not_run = false;
  /** Whether the address now belongs to a different backend server. */
  bool is_misdirected = false;
  /** Load of the server, if the answer states it. */
  std::optional<reported_load> load;
  /** Requests per second that the server takes from all hosts together, if the answer names it. */
  std::optional<double> request_limit;
  server_notice notice;

  bool operator==(const replica_reply&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_REPLICA_REPLY_H_
