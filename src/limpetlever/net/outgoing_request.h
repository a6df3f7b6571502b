#ifndef LIMPETLEVER_NET_OUTGOING_REQUEST_H_
#define LIMPETLEVER_NET_OUTGOING_REQUEST_H_

#include <memory>
#include <string>

namespace limpetlever {

/** An encoded HTTP request. Requests of the same body share it. */
struct outgoing_request {
  /** Request line, header fields and the empty line. */
  std::string head;
  /** nullptr: no body. */
  std::shared_ptr<const std::string> body;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_OUTGOING_REQUEST_H_
