#ifndef LIMPETLEVER_TRANSPORT_HOST_LIST_CLIENT_H_
#define LIMPETLEVER_TRANSPORT_HOST_LIST_CLIENT_H_

#include <string>
#include <vector>

#include "control/host_list.h"

namespace limpetlever {

/** Client of the platform's list of hosts over HTTP. */
class host_list_client {
 public:
  explicit host_list_client(std::string address);

  /** Reads the whole list. Failures: store_unavailable, or a parse error of the list. */
  result<std::vector<member>> Read();

 private:
  const std::string address_;
};

static_assert(host_list<host_list_client>);

}  // namespace limpetlever

#endif  // LIMPETLEVER_TRANSPORT_HOST_LIST_CLIENT_H_
