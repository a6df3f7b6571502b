#ifndef TESTS_DRILLS_HOST_PROCESS_H_
#define TESTS_DRILLS_HOST_PROCESS_H_

#include <sys/types.h>

#include <string>

#include "base/socket_address.h"

namespace limpetlever {

/** One process of the serving program. It is killed when this object ends. */
class host_process {
 public:
  struct options {
    /** Path of the program. */
    std::string program;
    /** Holds the settings file and the log. */
    std::string folder;
    std::string name;
    std::string data_centre;
    socket_address caller_address;
    socket_address readiness_address;
    socket_address directory_address;
    socket_address peer_address;
    socket_address metrics_address;
    socket_address store_address;
  };

  explicit host_process(options settings);
  ~host_process();
  host_process(const host_process&) = delete;
  host_process& operator=(const host_process&) = delete;

  void Start();
  /** Kills the process and waits for its end. */
  void Kill();
  /** Sends the process a signal, such as SIGSTOP, if it runs. */
  void Signal(int signal) const;
  /** Whether the process was started and has ended by itself. */
  bool HasEnded();
  /** Whether it was started and not killed. */
  bool IsStarted() const { return pid_ > 0; }
  const options& settings() const { return options_; }

 private:
  const options options_;
  pid_t pid_ = -1;
};

}  // namespace limpetlever

#endif  // TESTS_DRILLS_HOST_PROCESS_H_
