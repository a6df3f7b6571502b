#ifndef TESTS_MEMORY_NODE_PROCESS_H_
#define TESTS_MEMORY_NODE_PROCESS_H_

#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <utility>

#include "base/socket_address.h"

namespace limpetlever {

/** A running limpetlever-node process with a settings file of its own. */
class node_process {
 public:
  explicit node_process(const std::string& settings) {
    settings_path_ = "/tmp/limpetlever-node-" + std::to_string(getpid()) + ".json";
    std::ofstream(settings_path_) << settings;
    std::string program = NODE_PROGRAM;
    std::string command = "serve";
    std::string option = "--settings";
    const std::array<char*, 5> arguments = {program.data(), command.data(), option.data(),
                                            settings_path_.data(), nullptr};
    pid_ = fork();
    if (pid_ == 0) {
      // A test that fails ends without destructors.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int null = open("/dev/null", O_WRONLY);
      dup2(null, STDOUT_FILENO);
      close_range(STDERR_FILENO + 1, ~0U, 0);
      execv(program.c_str(), arguments.data());
      _exit(1);
    }
  }
  node_process(const node_process&) = delete;
  node_process& operator=(const node_process&) = delete;
  ~node_process() {
    if (IsRunning()) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    std::remove(settings_path_.c_str());
  }

  bool IsRunning() {
    has_ended_ = has_ended_ || waitpid(pid_, nullptr, WNOHANG) == pid_;
    return !has_ended_;
  }
  /** A field of /proc/PID/status in bytes, such as "VmHWM", the most resident memory so far. */
  std::size_t Memory(const std::string& field) const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(in, line);) {
      if (line.starts_with(field + ":")) {
        return std::stoul(line.substr(field.size() + 1)) * 1024;
      }
    }
    return 0;
  }
  std::size_t DescriptorCount() const {
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(pid_) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
  }

 private:
  std::string settings_path_;
  pid_t pid_ = 0;
  bool has_ended_ = false;
};

/** Bytes that connections of this local address have received and their process has not read. */
inline std::size_t UnreadBytes(const socket_address& address) {
  std::ifstream in("/proc/net/tcp");
  std::size_t sum = 0;
  for (std::string line; std::getline(in, line);) {
    unsigned port = 0;
    unsigned state = 0;
    unsigned long unsent = 0;
    unsigned long unread = 0;
    constexpr unsigned kListening = 0x0A;
    if (std::sscanf(line.c_str(), " %*d: %*8x:%4x %*8x:%*4x %2x %lx:%lx", &port, &state, &unsent,
                    &unread) == 4 &&
        port == address.port && state != kListening) {
      sum += unread;
    }
  }
  return sum;
}

}  // namespace limpetlever

#endif  // TESTS_MEMORY_NODE_PROCESS_H_
