#ifndef LIMPETLEVER_QUERY_SEND_REASON_H_
#define LIMPETLEVER_QUERY_SEND_REASON_H_

namespace limpetlever {

/** Why an attempt is sent. */
enum class send_reason {
  first,
  hedge,
  retry,
  /** It waited for a connection to a server that is no longer in use, and was not sent there. */
  moved
};

/** The enumerator's name. */
const char* ToString(send_reason reason);

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_SEND_REASON_H_
