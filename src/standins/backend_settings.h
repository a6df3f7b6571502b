#ifndef LIMPETLEVER_BACKEND_SETTINGS_H_
#define LIMPETLEVER_BACKEND_SETTINGS_H_

#include <string>
#include <vector>

#include "routing/held_version.h"

namespace limpetlever {

/**
 * Identity, capacity and faults of a stand-in for a backend server. The control service changes
 * them at run time.
 */
struct backend_settings {
  int port = 0;
  std::string service;
  std::string data_centre;
  /** Index versions held, each with its own shard count, so that repartitioning can be tested. */
  std::vector<held_version> versions;
  int service_time_us = 2000;
  /** Concurrent requests; more are shed. */
  int slots = 2;
  /** Most connections served at once. */
  int connections = 50;
  /** Delay of the first request of a connection. */
  int connection_cost_us = 0;
  /** Slots while cold. */
  int cold_slots = 1;
  /** Sum of service times after which the server is warm; 0: it starts warm. */
  int warm_up_ms = 0;
  /** While cold, requests beyond the slots fail with 500 instead of being shed with 503. */
  bool fails_when_cold = false;
  /** Sheds all new work. */
  bool draining = false;
  /** Share of requests that take `straggler_factor` times as long. */
  double straggler_share = 0.0;
  double straggler_factor = 20.0;
  /** Load that /status reports instead of the actual one; negative: the actual one. */
  double reported_load = -1.0;
  /** A request whose body contains this text crashes the server; "" for none. */
  std::string crash_mark;
  /** Time from a crash to the restart. */
  int restart_ms = 1000;
  /** Number of upcoming requests that get no answer while their connection stays open. */
  int silent_requests = 0;
  /** Number of upcoming answers that end, with their connection, before their Content-Length. */
  int short_answers = 0;
  /** Number of upcoming answers that carry the id of another request. */
  int crossed_answers = 0;
  /** Number of upcoming answers that are sent twice on their connection. */
  int duplicated_answers = 0;

  bool operator==(const backend_settings&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_BACKEND_SETTINGS_H_
