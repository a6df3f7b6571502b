#include "events/event_number.h"

namespace limpetlever {

std::string ToString(event_number number) {
  switch (number) {
    case event_number::host_started:
      return "host_started";
    case event_number::host_leaving:
      return "host_leaving";
    case event_number::host_stopped:
      return "host_stopped";
    case event_number::settings_refused:
      return "settings_refused";
    case event_number::query_started:
      return "query_started";
    case event_number::query_finished:
      return "query_finished";
    case event_number::attempt_sent:
      return "attempt_sent";
    case event_number::attempt_answered:
      return "attempt_answered";
    case event_number::hedge_sent:
      return "hedge_sent";
    case event_number::retry_sent:
      return "retry_sent";
    case event_number::query_restarted:
      return "query_restarted";
    case event_number::late_answer_dropped:
      return "late_answer_dropped";
    case event_number::attempt_started:
      return "attempt_started";
    case event_number::attempt_refused:
      return "attempt_refused";
    case event_number::replica_state_changed:
      return "replica_state_changed";
    case event_number::replica_limit_changed:
      return "replica_limit_changed";
    case event_number::connection_silent:
      return "connection_silent";
    case event_number::request_blocked:
      return "request_blocked";
    case event_number::replica_died:
      return "replica_died";
    case event_number::member_state_changed:
      return "member_state_changed";
    case event_number::view_adopted:
      return "view_adopted";
    case event_number::view_proposed:
      return "view_proposed";
    case event_number::lease_lapsed:
      return "lease_lapsed";
    case event_number::replica_acquired:
      return "replica_acquired";
    case event_number::replica_released:
      return "replica_released";
    case event_number::claim_committed:
      return "claim_committed";
    case event_number::claim_conflict:
      return "claim_conflict";
    case event_number::submission_finished:
      return "submission_finished";
    case event_number::table_adopted:
      return "table_adopted";
    case event_number::edit_accepted:
      return "edit_accepted";
    case event_number::edit_refused:
      return "edit_refused";
    case event_number::store_unavailable:
      return "store_unavailable";
    case event_number::store_available:
      return "store_available";
    case event_number::data_centre_state_changed:
      return "data_centre_state_changed";
    case event_number::bad_input:
      return "bad_input";
    case event_number::peer_unreachable:
      return "peer_unreachable";
    case event_number::malformed_answer:
      return "malformed_answer";
    case event_number::node_started:
      return "node_started";
    case event_number::node_settings_loaded:
      return "node_settings_loaded";
    case event_number::node_leaving:
      return "node_leaving";
    case event_number::node_stopped:
      return "node_stopped";
    case event_number::node_resumed:
      return "node_resumed";
    case event_number::unexpected_error:
      return "unexpected_error";
    case event_number::request_answered:
      return "request_answered";
    case event_number::request_refused:
      return "request_refused";
    case event_number::attempt_failed:
      return "attempt_failed";
    case event_number::attempt_repeated:
      return "attempt_repeated";
    case event_number::caller_left:
      return "caller_left";
    case event_number::foreign_answer_dropped:
      return "foreign_answer_dropped";
    case event_number::crash_suspected:
      return "crash_suspected";
    case event_number::caller_given_up:
      return "caller_given_up";
    case event_number::config_adopted:
      return "config_adopted";
    case event_number::config_refused:
      return "config_refused";
    case event_number::replica_changed:
      return "replica_changed";
    case event_number::replica_removed:
      return "replica_removed";
    case event_number::replica_entry_refused:
      return "replica_entry_refused";
    case event_number::data_centres_taken_out:
      return "data_centres_taken_out";
    case event_number::request_limit_changed:
      return "request_limit_changed";
    case event_number::store_entry_refused:
      return "store_entry_refused";
    case event_number::replica_excluded:
      return "replica_excluded";
    case event_number::replica_removal_delayed:
      return "replica_removal_delayed";
    case event_number::store_lost:
      return "store_lost";
    case event_number::store_regained:
      return "store_regained";
    case event_number::store_history_lost:
      return "store_history_lost";
    case event_number::host_registered:
      return "host_registered";
    case event_number::watch_renewed:
      return "watch_renewed";
    case event_number::source_chosen:
      return "source_chosen";
    case event_number::store_era_changed:
      return "store_era_changed";
    case event_number::store_load_refused:
      return "store_load_refused";
    case event_number::replica_cold:
      return "replica_cold";
    case event_number::peer_state_changed:
      return "peer_state_changed";
    case event_number::silent_hosts_changed:
      return "silent_hosts_changed";
    case event_number::log_lines_dropped:
      return "log_lines_dropped";
  }
  return "unknown";
}

const std::vector<event_number>& AllEventNumbers() {
  static const auto* numbers = new std::vector<event_number>{
      event_number::host_started,
      event_number::host_leaving,
      event_number::host_stopped,
      event_number::settings_refused,
      event_number::query_started,
      event_number::query_finished,
      event_number::attempt_sent,
      event_number::attempt_answered,
      event_number::hedge_sent,
      event_number::retry_sent,
      event_number::query_restarted,
      event_number::late_answer_dropped,
      event_number::attempt_started,
      event_number::attempt_refused,
      event_number::replica_state_changed,
      event_number::replica_limit_changed,
      event_number::connection_silent,
      event_number::request_blocked,
      event_number::replica_died,
      event_number::member_state_changed,
      event_number::view_adopted,
      event_number::view_proposed,
      event_number::lease_lapsed,
      event_number::replica_acquired,
      event_number::replica_released,
      event_number::claim_committed,
      event_number::claim_conflict,
      event_number::submission_finished,
      event_number::table_adopted,
      event_number::edit_accepted,
      event_number::edit_refused,
      event_number::store_unavailable,
      event_number::store_available,
      event_number::data_centre_state_changed,
      event_number::bad_input,
      event_number::peer_unreachable,
      event_number::malformed_answer,
      event_number::node_started,
      event_number::node_settings_loaded,
      event_number::node_leaving,
      event_number::node_stopped,
      event_number::node_resumed,
      event_number::unexpected_error,
      event_number::request_answered,
      event_number::request_refused,
      event_number::attempt_failed,
      event_number::attempt_repeated,
      event_number::caller_left,
      event_number::foreign_answer_dropped,
      event_number::crash_suspected,
      event_number::caller_given_up,
      event_number::config_adopted,
      event_number::config_refused,
      event_number::replica_changed,
      event_number::replica_removed,
      event_number::replica_entry_refused,
      event_number::data_centres_taken_out,
      event_number::request_limit_changed,
      event_number::store_entry_refused,
      event_number::replica_excluded,
      event_number::replica_removal_delayed,
      event_number::store_lost,
      event_number::store_regained,
      event_number::store_history_lost,
      event_number::host_registered,
      event_number::watch_renewed,
      event_number::source_chosen,
      event_number::store_era_changed,
      event_number::store_load_refused,
      event_number::replica_cold,
      event_number::peer_state_changed,
      event_number::silent_hosts_changed,
      event_number::log_lines_dropped,
  };
  return *numbers;
}

}  // namespace limpetlever
