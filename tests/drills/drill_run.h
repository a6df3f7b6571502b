#ifndef TESTS_DRILLS_DRILL_RUN_H_
#define TESTS_DRILLS_DRILL_RUN_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/time_types.h"
#include "drills/drill_caller.h"
#include "drills/drill_operator.h"
#include "drills/drill_plan.h"
#include "drills/drill_server.h"
#include "drills/drill_store.h"
#include "drills/fleet_check.h"
#include "drills/host_process.h"
#include "net/event_loop.h"

namespace limpetlever {

/** Plays a plan with processes of the serving program, on loopback and in real time. */
class drill_run {
 public:
  struct options {
    /** Path of the serving program. */
    std::string program;
    /** An existing folder for the settings and logs of the hosts. */
    std::string folder;
    int host_count = 3;
    int server_count = 12;
  };
  struct report {
    std::vector<std::string> violations;
    std::size_t violation_count = 0;
    std::size_t request_count = 0;
    /** Requests after a return whose version was checked; without these a run shows nothing. */
    std::size_t checked_count = 0;
  };

  drill_run(drill_plan plan, options settings);
  ~drill_run();

  /** Returns after the length of the plan. */
  report Play();

 private:
  struct host {
    std::unique_ptr<host_process> process;
    std::vector<std::unique_ptr<drill_caller>> callers;
    bool has_served = false;
    instant started;
  };

  socket_address NewAddress();
  void AddHost(int number);
  void AddServer(const std::string& service, const std::string& data_centre);
  void BeginWhenServed(instant give_up);
  void Begin();
  void BeginOutage(std::size_t number);
  void EndOutage(std::size_t number);
  void Perform(const drill_plan::action& action);
  void DrainOrRemove(std::uint64_t choice, bool drains);
  void RestartServer(std::uint64_t choice);
  void Evacuate(std::uint64_t choice);
  void KillHost(std::uint64_t choice);
  void StartHost();
  void OnOutcome(host& from, const drill_caller::outcome& outcome);
  void OnArrival(const drill_server& server, const std::string& request_id);
  void CheckProcesses();
  /** Adds a violation for each host that has run for some time and has no entry in the store. */
  void CheckRegistrations();
  bool IsServed(const std::string& service, instant since) const;
  std::vector<drill_server*> ReadyServers() const;

  const drill_plan plan_;
  const options options_;
  const std::string ip_;
  std::uint16_t next_port_;
  event_loop loop_;
  fleet_check check_;
  std::unique_ptr<drill_store> store_;
  std::unique_ptr<drill_operator> operator_;
  std::vector<std::unique_ptr<drill_server>> servers_;
  std::vector<std::unique_ptr<host>> hosts_;
  int next_server_ = 0;
  instant last_return_;
  std::size_t request_count_ = 0;
};

}  // namespace limpetlever

#endif  // TESTS_DRILLS_DRILL_RUN_H_
