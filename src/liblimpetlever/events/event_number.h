#ifndef LIMPETLEVER_EVENTS_EVENT_NUMBER_H_
#define LIMPETLEVER_EVENTS_EVENT_NUMBER_H_

#include <string>
#include <vector>

namespace limpetlever {

/**
 * Numbers of the events, catalogued in docs/events.md. The hundreds give the subject: 1xx host, 2xx
 * queries, 3xx replicas and connections, 4xx membership, 5xx ownership, 6xx claims, 7xx table and
 * key-value service, 8xx transport, 9xx limpetlever-node.
 * The number of a removed event is not reused.
 */
enum class event_number {
  host_started = 100,
  host_leaving = 101,
  host_stopped = 102,
  settings_refused = 103,
  query_started = 200,
  query_finished = 201,
  attempt_sent = 202,
  attempt_answered = 203,
  hedge_sent = 204,
  retry_sent = 205,
  query_restarted = 206,
  late_answer_dropped = 207,
  attempt_started = 300,
  attempt_refused = 301,
  replica_state_changed = 302,
  replica_limit_changed = 303,
  connection_silent = 304,
  request_blocked = 305,
  replica_died = 306,
  member_state_changed = 400,
  view_adopted = 500,
  view_proposed = 501,
  lease_lapsed = 502,
  replica_acquired = 503,
  replica_released = 504,
  claim_committed = 600,
  claim_conflict = 601,
  submission_finished = 602,
  table_adopted = 700,
  edit_accepted = 701,
  edit_refused = 702,
  store_unavailable = 703,
  store_available = 704,
  data_centre_state_changed = 705,
  bad_input = 800,
  peer_unreachable = 801,
  malformed_answer = 802,
  node_started = 900,
  node_settings_loaded = 901,
  node_leaving = 902,
  node_stopped = 903,
  node_resumed = 904,
  unexpected_error = 905,
  request_answered = 910,
  request_refused = 911,
  attempt_failed = 912,
  attempt_repeated = 913,
  caller_left = 914,
  foreign_answer_dropped = 915,
  crash_suspected = 916,
  caller_given_up = 917,
  config_adopted = 920,
  config_refused = 921,
  replica_changed = 922,
  replica_removed = 923,
  replica_entry_refused = 924,
  data_centres_taken_out = 925,
  request_limit_changed = 926,
  store_entry_refused = 927,
  replica_excluded = 928,
  replica_removal_delayed = 929,
  store_lost = 930,
  store_regained = 931,
  store_history_lost = 932,
  host_registered = 933,
  watch_renewed = 934,
  source_chosen = 935,
  store_era_changed = 936,
  store_load_refused = 937,
  replica_cold = 938,
  peer_state_changed = 940,
  silent_hosts_changed = 941,
  log_lines_dropped = 950,
};

/** The name of an event in the catalogue, for example "host_started"; "unknown" for others. */
std::string ToString(event_number number);

/** All event numbers, in ascending order. */
const std::vector<event_number>& AllEventNumbers();

}  // namespace limpetlever

#endif  // LIMPETLEVER_EVENTS_EVENT_NUMBER_H_
