#ifndef TESTS_DRILLS_DRILL_SERVER_H_
#define TESTS_DRILLS_DRILL_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/socket_address.h"
#include "base/time_types.h"
#include "timer/timer_service.h"

namespace limpetlever {

class drill_store;
class event_loop;
class http_server;
class server_connection;

/** A backend server: it registers in the store, sends heartbeats and answers requests. */
class drill_server {
 public:
  struct options {
    std::string id;
    std::string service;
    std::string data_centre;
    socket_address address;
    /** Before the first heartbeat. */
    duration first_heartbeat{};
    /** Whether each heartbeat raises the store's revision. */
    bool heartbeats_raise_revision = true;
  };
  enum class state_type { ready, draining, gone };
  /** Called for each request that reaches the server and names no other one. */
  using arrival_function =
      std::function<void(const drill_server& server, const std::string& request_id)>;

  drill_server(event_loop& loop, drill_store& store, options settings, arrival_function on_arrival);
  ~drill_server();

  /** Reports that it drains; it goes on serving. */
  void Drain();
  /** Its entry is removed; it goes on serving. */
  void Leave();
  /** The process ends; one under the same id and address follows after `pause`. */
  void Restart(duration pause);
  /** The process ends. */
  void Stop();

  const options& settings() const { return options_; }
  const std::string& key() const { return key_; }
  state_type state() const { return state_; }
  /** Whether a process runs that the store has had as ready since `time` at least. */
  bool IsReadySince(instant time) const;

 private:
  void StartProcess();
  void Handle(const std::shared_ptr<server_connection>& caller);
  /** Brings the store's entry into the state of the server, if the store answers. */
  void Write();

  event_loop& loop_;
  drill_store& store_;
  const options options_;
  const std::string key_;
  const arrival_function on_arrival_;
  /** Null while no process runs. */
  std::shared_ptr<http_server> server_;
  state_type state_ = state_type::ready;
  std::int64_t born_ms_ = 0;
  std::int64_t sequence_ = 0;
  /** When this process was first registered. */
  instant registered_;
  bool is_registered_ = false;
  timer_service::timer_id heartbeat_ = 0;
  timer_service::timer_id restart_ = 0;
};

}  // namespace limpetlever

#endif  // TESTS_DRILLS_DRILL_SERVER_H_
