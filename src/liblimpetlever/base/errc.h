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
  replica_full = 5,
  replica_cold = 6,
  replica_draining = 7,
  not_owner = 8,
  lease_lapsed = 9,
  version_gone = 10,
  no_replica = 11,
  request_blocked = 12,
  connection_failed = 13,
  connection_lost = 14,
  connection_silent = 15,
  malformed_answer = 16,
  backend_error = 17,
  shed = 18,
  cancelled = 19,
  store_unavailable = 20,
  store_conflict = 21,
  store_outcome_unknown = 22,
  edit_conflict = 23,
  key_reused = 24,
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
std::error_code ErrorFromCode(int number);

}  // namespace limpetlever

template <>
struct std::is_error_code_enum<limpetlever::errc> : std::true_type {};

#endif  // LIMPETLEVER_BASE_ERRC_H_
