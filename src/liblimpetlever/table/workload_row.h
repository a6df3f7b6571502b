#ifndef LIMPETLEVER_TABLE_WORKLOAD_ROW_H_
#define LIMPETLEVER_TABLE_WORKLOAD_ROW_H_

#include <string>

#include "table/request_kind.h"

namespace limpetlever {

/** A named set of services that one request fans out to. */
struct workload_row {
  std::string name;
  request_kind kind = request_kind::query;
  /** Deadline of requests that do not specify one, in milliseconds. */
  int default_deadline_ms = 170;

  bool operator==(const workload_row&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_TABLE_WORKLOAD_ROW_H_
