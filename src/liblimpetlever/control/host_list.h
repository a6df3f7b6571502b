#ifndef LIMPETLEVER_CONTROL_HOST_LIST_H_
#define LIMPETLEVER_CONTROL_HOST_LIST_H_

#include <concepts>
#include <vector>

#include "base/result.h"
#include "membership/member.h"

namespace limpetlever {

/**
 * The platform's list of hosts, both live and leaving; it lags behind the actual state. Failure:
 * store_unavailable.
 */
template <typename T>
concept host_list = requires(T list) {
  { list.Read() } -> std::same_as<result<std::vector<member>>>;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_CONTROL_HOST_LIST_H_
