#ifndef LIMPETLEVER_QUERY_ATTEMPT_FAILURE_H_
#define LIMPETLEVER_QUERY_ATTEMPT_FAILURE_H_

namespace limpetlever {

/** Why an attempt ended without a valid answer. */
enum class attempt_failure {
  /** No connection could be opened, so nothing was sent. */
  not_connected,
  /** Nothing was sent, since the server may not be sent the request any more. */
  excluded,
  /** The connection closed after the request was sent and before the answer was complete. */
  connection_lost,
  /** The answer is not valid HTTP, or lacks a mandatory element. */
  malformed_answer
};

/** The enumerator's name. */
const char* ToString(attempt_failure failure);

/** Whether the backend server may have run the request before the failure. */
bool MayHaveRun(attempt_failure failure);

}  // namespace limpetlever

#endif  // LIMPETLEVER_QUERY_ATTEMPT_FAILURE_H_
