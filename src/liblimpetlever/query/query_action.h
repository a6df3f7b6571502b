#ifndef LIMPETLEVER_QUERY_QUERY_ACTION_H_
#define LIMPETLEVER_QUERY_QUERY_ACTION_H_

#include <cstdint>
#include <memory>

#include "query/send_reason.h"

namespace limpetlever {

struct replica_record;

/** A step that the user of a query_plan has to carry out. */
struct query_action {
  enum class kind_type {
    /** Send the request to `target` as attempt `attempt`. */
    send,
    /** Cancel `attempt`, whose answer is no longer needed. */
    abandon,
    /** The query is over; see query_plan::outcome. */
    finish
  };
  kind_type kind = kind_type::send;
  std::uint32_t attempt = 0;
  send_reason reason = send_reason::first;
  std::shared_ptr<replica_record> target;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_QUERY_ACTION_H_
