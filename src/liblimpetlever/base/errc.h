#ifndef LIMPETLEVER_BASE_ERRC_H_
#define LIMPETLEVER_BASE_ERRC_H_

#include <system_error>

namespace limpetlever {

/** Reasons why a request is refused or fails. Hosts send the numeric values to each other. */
enum class errc {
  ok = 0,
  invalid_input = 1,
  too_large = 2,
  unknown_workload = 3,
  deadline_exceeded = 4,
  /** The queue of a backend server at its concurrency limit is full. */
  replica_full = 5,
  /** As replica_full, while the server warms up and its limit is reduced. */
  replica_cold = 6,
  replica_draining = 7,
  /** The host does not own the replica in its current view. */
  not_owner = 8,
  /** The host has no fresh lease on the ownership view. */
  lease_lapsed = 9,
  /** The backend server does not hold the requested index version. */
  version_gone = 10,
  /** There is no usable replica. */
  no_replica = 11,
  /** The request is refused because it is suspected of crashing backend servers. */
  request_blocked = 12,
  connection_failed = 13,
  connection_lost = 14,
  /** The connection brought no byte in time and was dropped. */
  connection_silent = 15,
  malformed_answer = 16,
  backend_error = 17,
  /** The backend server refused the request because of overload. */
  shed = 18,
  cancelled = 19,
  store_unavailable = 20,
  /** A conditional write failed because the key has another revision. */
  store_conflict = 21,
  store_outcome_unknown = 22,
  /** The rows of an edit were changed after its base version. */
  edit_conflict = 23,
  /** The submission's key was used with another body. */
  key_reused = 24,
  /** The claim on the submission's key has no final outcome. */
  claim_unresolved = 25,
  shutting_down = 26,
  not_ready = 27,
  budget_exhausted = 28,
  peer_unreachable = 29,
  not_found = 30,
  overloaded = 31,
};

/** The category of errc values; its messages are the enumerator names, for logs and answers. */
const std::error_category& LimpetleverCategory();

std::error_code make_error_code(errc value);

/** Converts a number received from another host; unknown numbers become backend_error. */
std::error_code ErrorFromNumber(int number);

}  // namespace limpetlever

template <>
struct std::is_error_code_enum<limpetlever::errc> : std::true_type {};

#endif  // LIMPETLEVER_BASE_ERRC_H_
