#ifndef REVIEW_STANDIN_2_STAGE_H_
#define REVIEW_STANDIN_2_STAGE_H_

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/standins/platform_store.h"

namespace review {

using limpetlever::duration;
using limpetlever::event_loop;
using limpetlever::http_server;
using limpetlever::instant;
using limpetlever::server_connection;
using limpetlever::socket_address;

/** Exit codes of a case. */
enum exit_code { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

/** How often a replica writes its entry; the settings of the hosts state the same. */
inline constexpr duration kHeartbeat = std::chrono::milliseconds(1200);

/** A request that a replica began to run. */
struct run_record {
  std::string attempt_id;
  std::string replica;
  std::string method;
  std::string target;
  std::string body;
  instant at;
};

/** What a caller got. */
struct call_record {
  std::string attempt_id;
  std::string method;
  std::string target;
  std::string body;
  instant sent;
  /** 0: the connection ended without an answer, or the caller's deadline passed. */
  int status = 0;
  bool has_seal = false;
  std::string answer_body;
  bool is_done = false;
};

class stage;

/** A stand-in for one replica of the platform. */
class replica_standin {
 public:
  struct options {
    std::string id;
    std::string service;
    std::string zone = "zone-a";
    duration work = std::chrono::milliseconds(20);
    int slots = 2;
    int queue = 12;
  };

  replica_standin(stage& on, options from);
  ~replica_standin();

  /** Listens, registers and checks in from now on. */
  void Start(bool is_cold = false, duration warm_up = {});
  /** Ends as a crashed process: connections are reset, and nothing is written any more. */
  void Crash();
  /** Crashes, and starts again after `pause`. */
  void CrashAndRestart(duration pause, bool is_cold = false, duration warm_up = {});
  /** Reports that it is draining, and goes on checking in. */
  void Drain();
  /** Leaves without a report: its entry is removed, and it serves until Crash(). */
  void RemoveEntry();
  /** Sends no further check-in. */
  void StopCheckIns() { checks_in_ = false; }

  const std::string& id() const { return options_.id; }
  bool is_running() const { return server_ != nullptr; }
  bool is_cold() const;
  std::int64_t seq() const { return seq_; }
  /** The entry that it writes at present. */
  std::string Entry(std::int64_t seq) const;
  /** Called for each request before it runs; returns whether the replica handled it. */
  std::function<bool(const std::shared_ptr<server_connection>&)> on_request;
  /** Arrivals, also those that are rejected; without those that get 421. */
  std::vector<instant> arrivals;
  int crashes = 0;

 private:
  struct waiting_request {
    std::shared_ptr<server_connection> caller;
  };
  void Handle(const std::shared_ptr<server_connection>& caller);
  void Run(const std::shared_ptr<server_connection>& caller);
  void RunNext();
  void CheckIn();

  stage& stage_;
  options options_;
  socket_address address_;
  std::unique_ptr<http_server> server_;
  std::vector<std::shared_ptr<server_connection>> running_;
  std::vector<std::shared_ptr<server_connection>> queue_;
  std::vector<std::weak_ptr<server_connection>> seen_;
  std::int64_t born_ms_ = 0;
  std::int64_t seq_ = 0;
  std::uint64_t lifetime_ = 0;
  instant cold_until_;
  bool checks_in_ = true;
  bool is_draining_ = false;
};

/** The store, replicas, callers and the processes of one case, on one event loop. */
class stage {
 public:
  explicit stage(std::string record_path);
  ~stage();

  event_loop& loop() { return loop_; }
  limpetlever::platform::platform_store& store() { return store_; }
  /** Milliseconds since the start of the case. */
  std::int64_t Ms(instant at) const;
  void Note(const std::string& line);
  /** Runs `call` this long after the start of the case. */
  void At(duration after_start, std::function<void()> call);
  void Every(duration first, duration period, duration last, std::function<void()> call);

  /** A loopback address whose port is free for TCP and UDP. */
  socket_address FreeAddress();

  struct host {
    std::string name;
    std::string zone;
    pid_t pid = -1;
    socket_address caller_address;
    socket_address readiness_address;
    socket_address directory_address;
    std::string settings_path;
  };
  host& StartHost(const std::string& name, const std::string& zone);
  void Kill(host& item);
  /** Whether a host has ended that the case did not kill. */
  bool HasHostEnded();

  /** Sends a request on a new connection. */
  std::shared_ptr<call_record> Call(const socket_address& to,
                                    const std::string& method,
                                    const std::string& target,
                                    const std::string& body,
                                    int deadline_ms,
                                    const std::string& host_name = "h.example");
  /** A GET without the fields of callers, for the host's other interfaces. */
  void Get(const socket_address& to,
           const std::string& target,
           std::function<void(int status, const std::string& body)> done);

  /**
   * While it is down, the store accepts calls and never answers those that arrive; nothing is done.
   */
  void SetStoreDown(bool is_down);
  /** A replica's check-in: changes the entry if more than `seq` changes. */
  void WriteEntry(const std::string& id, const std::string& entry);

  std::vector<run_record> runs;
  std::vector<std::shared_ptr<call_record>> calls;

 private:
  class client;
  void ExpireEntries();

  event_loop loop_;
  limpetlever::platform::platform_store store_;
  instant start_;
  std::ofstream record_;
  std::string folder_;
  std::vector<std::unique_ptr<host>> hosts_;
  std::vector<std::unique_ptr<client>> clients_;
  std::map<std::string, instant> last_check_in_;
  bool is_store_down_ = false;
  int next_port_;
  std::uint64_t next_attempt_ = 1;
};

/** Whether the case runs with its disruption (TROUBLE is not 0). */
bool HasTrouble();

}  // namespace review

#endif  // REVIEW_STANDIN_2_STAGE_H_
