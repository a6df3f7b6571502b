#include <criterion/criterion.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include "backend_server.h"
#include "base/errc.h"
#include "base/hash.h"
#include "control/gossip_map.h"
#include "events/event_log.h"
#include "server/cluster_state.h"
#include "server/crash_service.h"
#include "server/gossip_codec.h"
#include "server/host_metrics.h"
#include "server/replica_owner.h"
#include "transport/backend_client.h"
#include "transport/monotonic_clock.h"

using namespace limpetlever;

namespace {

const std::string kCrashMark = "poison";

/**
 * A replica_owner with three backend servers: 0 and 1 hold shard 0, 2 holds shard 1. Servers 0 and
 * 1 crash on a request whose body is kCrashMark.
 */
class owner_fixture {
 public:
  owner_fixture() {
    for (const int shard : {0, 0, 1}) {
      backend_settings settings;
      settings.versions = {{.version = 1, .shard_count = 2, .shards = {shard}}};
      settings.crash_mark = shard == 0 ? kCrashMark : "";
      settings.restart_ms = 0;
      servers_.push_back(std::make_unique<backend_server>("127.0.0.1", settings, 1));
    }
    operator_table table{.version = 1,
                         .workloads = {{.name = "w"}},
                         .services = {{.name = "s", .workload = "w", .slots = 2}},
                         .data_centres = {{.name = "dc", .region = "r"}}};
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      table.backend_servers.push_back(
          {.address = ServerAddress(i), .service = "s", .data_centre = "dc"});
    }
    std::sort(table.backend_servers.begin(), table.backend_servers.end(),
              [](const auto& a, const auto& b) { return a.address < b.address; });
    state_.AdoptTable(table);
    state_.AdoptView({.epoch = 1, .members = {{.name = "h", .data_centre = "dc"}}});
  }

  std::string ServerAddress(std::size_t server) const {
    return "127.0.0.1:" + std::to_string(servers_[server]->port());
  }
  gossip_map& gossip() { return gossip_; }
  cluster_state& state() { return state_; }
  replica_owner& owner() { return owner_; }

  /** Runs one attempt of a new query on a server and returns its result. */
  attempt_result Run(std::size_t server, std::uint32_t shard, const std::string& body) {
    const attempt_id id{++next_query_, shard, 0};
    owner_.Handle("self", {{.id = id,
                            .replica = ServerAddress(server),
                            .workload = "w",
                            .snapshot_version = 1,
                            .body = std::make_shared<const std::string>(body),
                            .time_limit = std::chrono::seconds(20),
                            .fingerprint = Hash(body)}});
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return results_.contains(id); });
    return results_.at(id);
  }

  /**
   * Restarts a crashed server and waits until gossip holds a crash mark for it; returns false if
   * none appears within about 10 s.
   */
  bool WaitForMark(std::size_t server) {
    const auto has_mark = [&] {
      for (const gossip_entry& entry : gossip_.Digest()) {
        if (entry.key.starts_with("crash/") && entry.key.ends_with(ServerAddress(server))) {
          return true;
        }
      }
      return false;
    };
    for (int i = 0; i < 2000 && !has_mark(); ++i) {
      servers_[server]->Tick();
      owner_.PollReplicas();
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return has_mark();
  }

 private:
  std::vector<std::unique_ptr<backend_server>> servers_;
  cluster_state state_{{.name = "h", .region = "r", .data_centre = "dc", .peer_address = "self"}};
  event_log events_{"h", 1000, WallNow};
  host_metrics metrics_;
  gossip_map gossip_;
  crash_service crashes_{gossip_, events_};
  backend_client backends_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<attempt_id, attempt_result> results_;
  std::uint64_t next_query_ = 0;
  replica_owner owner_{state_,
                       backends_,
                       events_,
                       metrics_,
                       crashes_,
                       4,
                       [](const std::string&) { return true; },
                       [this](const std::string&, const std::vector<attempt_result>& results) {
                         const std::lock_guard lock(mutex_);
                         for (const attempt_result& result : results) {
                           results_.emplace(result.id, result);
                         }
                         changed_.notify_all();
                       }};
};

}  // namespace

// Guards against an owner that ignores the latency known from a former owner or from other replicas
// of the service: without it, the owner must first measure until it can tell that the server is
// warm.
Test(replica_owner, known_latency_of_the_service_opens_the_limit) {
  owner_fixture fixture;
  fixture.state().SetReplicaStatuses("former", {{.address = fixture.ServerAddress(2),
                                                 .usable = true,
                                                 .reference_latency = std::chrono::seconds(1)}});
  fixture.owner().PollReplicas();  // creates the entries
  fixture.owner().PollReplicas();
  int answers = 1;
  constexpr int kMaxAnswers = 100;
  while (answers < kMaxAnswers && fixture.Run(0, 0, "a").limit < 2) {
    ++answers;
  }
  cr_assert(answers < kMaxAnswers, "limit of 1 after %d answers", answers);
}

// Guards against the status message to all hosts dropping the latency.
Test(replica_owner, latency_travels_with_the_status) {
  const std::vector<replica_status> statuses = {
      {.address = "a", .instance_id = "i", .reference_latency = std::chrono::milliseconds(7)}};
  const auto parsed = ParseReplicaStatuses(FormatReplicaStatuses(statuses));
  cr_assert(parsed && *parsed == statuses);
}

// Guards against a request that crashes the servers of one shard but is never blocked because it
// succeeds on another shard, and against blocking it on the other shards too.
Test(replica_owner, success_on_another_shard_does_not_clear_the_marks_of_a_shard) {
  owner_fixture fixture;
  // Makes the instance IDs of both servers known before they crash.
  fixture.Run(0, 0, "warm");
  fixture.Run(1, 0, "warm");
  for (const std::size_t server : {0, 1}) {
    cr_assert(fixture.Run(server, 0, kCrashMark).outcome.state == run_state::may_have_run);
    cr_assert(fixture.WaitForMark(server), "server %zu", server);
    cr_assert(fixture.Run(2, 1, kCrashMark).outcome.state == run_state::ran);
  }
  const attempt_result blocked = fixture.Run(0, 0, kCrashMark);
  cr_assert(blocked.outcome == NotRun(errc::request_blocked), "%s",
            blocked.outcome.error.message().c_str());
  cr_assert(fixture.Run(2, 1, kCrashMark).outcome.state == run_state::ran);
}
