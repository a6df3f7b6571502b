#include "drills/host_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <utility>

namespace limpetlever {

namespace {

std::string ToText(const socket_address& address) {
  return "\"" + address.ip + ":" + std::to_string(address.port) + "\"";
}

}  // namespace

host_process::host_process(options settings) : options_(std::move(settings)) {}

host_process::~host_process() {
  Kill();
}

void host_process::Start() {
  const std::string path = options_.folder + "/" + options_.name + ".json";
  std::ofstream(path) << "{\"name\": \"" << options_.name
                      << "\", \"region\": \"r\", \"data_centre\": \"" << options_.data_centre
                      << "\", \"caller_address\": " << ToText(options_.caller_address)
                      << ", \"readiness_address\": " << ToText(options_.readiness_address)
                      << ", \"directory_address\": " << ToText(options_.directory_address)
                      << ", \"peer_address\": " << ToText(options_.peer_address)
                      << ", \"metrics_address\": " << ToText(options_.metrics_address)
                      << ", \"store_address\": " << ToText(options_.store_address)
                      << ", \"processor_share\": 0.17, \"max_descriptors\": 2870, "
                      << "\"memory_mb\": 182, \"grace_s\": 6, \"max_advice_lifetime_s\": 5, "
                      << "\"server_heartbeat_ms\": 1200, \"retry_ratio\": 0.2, "
                      << "\"retry_slack\": 104, \"retry_window_s\": 10}\n";
  const std::string log = options_.folder + "/" + options_.name + ".log";
  const std::string variable = "LIMPETLEVER_BOOT=" + path;
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    dup2(fd, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    std::string program = options_.program;
    std::string command = "serve";
    std::string environment = variable;
    char* arguments[] = {program.data(), command.data(), nullptr};
    char* variables[] = {environment.data(), nullptr};
    execve(program.c_str(), arguments, variables);
    _exit(127);
  }
}

void host_process::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

void host_process::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

bool host_process::HasEnded() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
    return true;
  }
  return false;
}

}  // namespace limpetlever
