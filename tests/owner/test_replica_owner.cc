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

/** An owner of servers "a" and "b" of shard 0 and "c" of shard 1; a and b crash on kCrashMark. */
class owner_world {
 public:
  owner_world() {
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
      table.backend_servers.push_back({.address = At(i), .service = "s", .data_centre = "dc"});
    }
    std::sort(table.backend_servers.begin(), table.backend_servers.end(),
              [](const auto& a, const auto& b) { return a.address < b.address; });
    state_.AdoptTable(table);
    state_.AdoptView({.epoch = 1, .members = {{.name = "h", .data_centre = "dc"}}});
  }

  std::string At(std::size_t server) const {
    return "127.0.0.1:" + std::to_string(servers_[server]->port());
  }
  gossip_map& gossip() { return gossip_; }
  cluster_state& state() { return state_; }
  replica_owner& owner() { return owner_; }

  /** Runs one attempt of the query on a server and returns its result. */
  attempt_result Run(std::size_t server, std::uint32_t shard, const std::string& body) {
    const attempt_id id{++next_, shard, 0};
    owner_.Handle("self", {{.id = id,
                            .replica = At(server),
                            .workload = "w",
                            .snapshot_version = 1,
                            .body = std::make_shared<const std::string>(body),
                            .time_limit = std::chrono::seconds(20),
                            .fingerprint = Hash(body)}});
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return results_.contains(id); });
    return results_.at(id);
  }

  /** Restarts a crashed server; false if no mark for it is shared within about 10 s. */
  bool AwaitMark(std::size_t server) {
    const auto is_shared = [&] {
      for (const gossip_entry& entry : gossip_.Digest()) {
        if (entry.key.starts_with("crash/") && entry.key.ends_with(At(server))) {
          return true;
        }
      }
      return false;
    };
    for (int i = 0; i < 2000 && !is_shared(); ++i) {
      servers_[server]->Tick();
      owner_.PollReplicas();
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return is_shared();
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
  std::uint64_t next_ = 0;
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

// Guards against an owner that does not use the latency known from a former owner or from other
// replicas of the service: it would have to wait for the latency to show that the server is warm.
Test(replica_owner, known_latency_of_the_service_opens_the_limit) {
  owner_world world;
  world.state().SetReplicaStatuses(
      "former",
      {{.address = world.At(2), .usable = true, .reference_latency = std::chrono::seconds(1)}});
  world.owner().PollReplicas();  // creates the entries
  world.owner().PollReplicas();
  int answers = 1;
  constexpr int kMaxAnswers = 100;
  while (answers < kMaxAnswers && world.Run(0, 0, "a").limit < 2) {
    ++answers;
  }
  cr_assert(answers < kMaxAnswers, "limit of 1 after %d answers", answers);
}

// Guards against a message to all hosts that loses the latency.
Test(replica_owner, latency_travels_with_the_status) {
  const std::vector<replica_status> statuses = {
      {.address = "a", .instance_id = "i", .reference_latency = std::chrono::milliseconds(7)}};
  const auto parsed = ParseReplicaStatuses(FormatReplicaStatuses(statuses));
  cr_assert(parsed && *parsed == statuses);
}

// Guards against a request that crashes the servers of one shard never being blocked because it
// succeeds on another shard, and against the block of one shard refusing the others.
Test(replica_owner, success_on_another_shard_does_not_clear_the_marks_of_a_shard) {
  owner_world world;
  world.Run(0, 0, "warm");  // so that the first instances are known
  world.Run(1, 0, "warm");
  for (const std::size_t server : {0, 1}) {
    cr_assert(world.Run(server, 0, kCrashMark).outcome.state == run_state::may_have_run);
    cr_assert(world.AwaitMark(server), "server %zu", server);
    cr_assert(world.Run(2, 1, kCrashMark).outcome.state == run_state::ran);
  }
  const attempt_result blocked = world.Run(0, 0, kCrashMark);
  cr_assert(blocked.outcome == NotRun(errc::request_blocked), "%s",
            blocked.outcome.error.message().c_str());
  cr_assert(world.Run(2, 1, kCrashMark).outcome.state == run_state::ran);
}
