#ifndef LIMPETLEVER_SERVER_RUNNING_QUERY_H_
#define LIMPETLEVER_SERVER_RUNNING_QUERY_H_

#include <condition_variable>
#include <memory>
#include <utility>

#include "routing/fan_out.h"

namespace limpetlever {

/** A query in progress; the thread that serves its caller waits on `changed` for its end. */
struct running_query {
  running_query(query_request request,
                std::shared_ptr<const partition_map> map,
                replica_selector& selector,
                service_records& services)
      : plan(std::move(request), std::move(map), selector, services) {}

  fan_out plan;
  std::condition_variable changed;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_SERVER_RUNNING_QUERY_H_
