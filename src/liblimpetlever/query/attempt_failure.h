#ifndef LIMPETLEVER_QUERY_ATTEMPT_FAILURE_H_
#define LIMPETLEVER_QUERY_ATTEMPT_FAILURE_H_

namespace limpetlever {

/** Why an attempt has no answer. */
enum class attempt_failure {
  /** No connection could be opened, so nothing was sent. */
  not_connected,
  /** Nothing was sent for another reason, such as a full queue of this host. */
  not_sent,
  /** The connection ended after the request was sent and before the whole answer came. */
  connection_lost,
  /** The answer is not valid HTTP, or lacks what an answer must have. */
  malformed_answer
};

/** The name of a failure in lower case. */
const char* ToString(attempt_failure failure);

/** Whether the request may have run in spite of the failure. */
bool MayHaveRun(attempt_failure failure);

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_ATTEMPT_FAILURE_H_
