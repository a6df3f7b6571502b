#ifndef LIMPETLEVER_TRANSPORT_BACKEND_REPLY_H_
#define LIMPETLEVER_TRANSPORT_BACKEND_REPLY_H_

#include <cstdint>
#include <string>

#include "base/time_types.h"
#include "base/verdict.h"

namespace limpetlever {

/** A backend server's answer to one attempt, or the error if there is none. */
struct backend_reply {
  verdict outcome;
  std::string body;
  std::int64_t snapshot_version = 0;
  std::string instance_id;
  /** Time from the acquisition of a connection to the end of the answer, or to the failure. */
  duration elapsed{};

  bool operator==(const backend_reply&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_BACKEND_REPLY_H_
