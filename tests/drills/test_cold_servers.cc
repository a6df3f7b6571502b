#include <criterion/criterion.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "drills/drill_caller.h"
#include "drills/drill_store.h"
#include "drills/host_process.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/http_text.h"
#include "net/server_connection.h"
#include "net/socket.h"

using namespace limpetlever;
using namespace std::chrono_literals;

namespace {

constexpr int kHosts = 6;
constexpr int kCallersOfHost = 3;
constexpr int kServers = 3;
constexpr duration kWarmUp = 3s;
constexpr double kColdPerSecond = 2.0;
/** The most requests that a cold server may get in a second, by the users' rule. */
constexpr std::size_t kAllowed = 8;
/** A cold server crashes at a rate well above what it can handle. */
constexpr std::size_t kCrashing = 2 * kAllowed;
constexpr duration kHeartbeat = 1200ms;
/** Within this time after a host knows that a request cannot be served, it rejects it. */
constexpr duration kAtOnce = 300ms;

/** A server that is cold after its start and counts the requests that reach it then. */
class cold_server {
 public:
  cold_server(event_loop& loop, drill_store& store, socket_address address)
      : loop_(loop), store_(store), address_(std::move(address)) {}
  ~cold_server() { loop_.timers().Cancel(heartbeat_); }

  /** Starts a process, which writes its first entry after `silence`. */
  void Start(const std::string& id, duration cold_for, duration silence = 0ms) {
    id_ = id;
    ++starts_;
    started_ms_ = 1'700'000'000'000 + starts_;
    sequence_ = 0;
    cold_until_ = loop_.Now() + cold_for;
    count_from_ = loop_.Now();
    arrivals_.clear();
    server_ = std::make_unique<http_server>(loop_, std::move(Listen(address_).value()),
                                            [this](const auto& caller) { Handle(caller); });
    heartbeat_ = loop_.timers().SubscribeEvery(loop_.Now() + silence, kHeartbeat,
                                               [this](instant) { Write(); });
  }
  void Crash() {
    ++crashes_;
    loop_.timers().Cancel(heartbeat_);
    loop_.Defer([held = std::shared_ptr<http_server>(std::move(server_))] {});
  }
  void RemoveEntry() { store_.Remove("servers/" + id_); }
  /** Turns cold while it runs. Requests count once the hosts can know, after `notice`. */
  void TurnCold(duration cold_for, duration notice) {
    cold_until_ = loop_.Now() + cold_for;
    count_from_ = loop_.Now() + notice;
    Write();
  }
  /** Counts from now on, whatever came before. */
  void CountFromNow() { count_from_ = loop_.Now(); }

  /** The most requests that it got within a second while it was cold. */
  std::size_t most() const { return most_; }
  int crashes() const { return crashes_; }
  bool IsRunning() const { return server_ != nullptr; }

 private:
  duration ColdLeft() const { return std::max(duration::zero(), cold_until_ - loop_.Now()); }

  void Write() {
    const auto cold_ms = std::chrono::floor<std::chrono::milliseconds>(ColdLeft()).count();
    const std::string content =
        R"({"service":"s","address":")" + address_.ip + ":" + std::to_string(address_.port) +
        R"(","zone":"dc-0","version":"1","slots":8,"state":"ready","warmupLeftMs":)" +
        std::to_string(cold_ms) + ",\"born\":" + std::to_string(started_ms_) + ",\"seq\":";
    store_.Write("servers/" + id_, content + std::to_string(++sequence_) + "}", content);
  }

  void Handle(const std::shared_ptr<server_connection>& caller) {
    std::string head;
    if (caller->request().target == "/health") {
      AppendStatusLine(head, 200);
      AppendField(head, "Instance-Id", id_);
      AppendField(head, "Cold-Ms",
                  std::to_string(std::chrono::ceil<std::chrono::milliseconds>(ColdLeft()).count()));
      caller->Answer(head, "");
      return;
    }
    const std::string request(caller->request().Find("Attempt-Id"));
    const bool is_other = caller->request().Find("Target-Instance") != id_;
    AppendStatusLine(head, is_other ? 421 : 200);
    AppendField(head, "Attempt-Id", request);
    if (!is_other && loop_.Now() < cold_until_ && loop_.Now() >= count_from_ && IsTooMuch()) {
      caller->Abort();
      Crash();
      return;
    }
    if (!is_other) {
      AppendField(head, "Response-Seal", "sig-" + request);
    }
    caller->Answer(head, is_other ? "" : "s");
  }

  bool IsTooMuch() {
    arrivals_.push_back(loop_.Now());
    std::erase_if(arrivals_, [this](instant at) { return loop_.Now() - at >= 1s; });
    most_ = std::max(most_, arrivals_.size());
    return arrivals_.size() > kCrashing;
  }

  event_loop& loop_;
  drill_store& store_;
  const socket_address address_;
  std::unique_ptr<http_server> server_;
  std::string id_;
  int starts_ = 0;
  int crashes_ = 0;
  std::int64_t started_ms_ = 0;
  std::int64_t sequence_ = 0;
  instant cold_until_;
  instant count_from_;
  std::vector<instant> arrivals_;
  std::size_t most_ = 0;
  timer_service::timer_id heartbeat_ = 0;
};

/** Hosts as processes of their own, servers of one service, and callers that ask all the time. */
class cold_fleet {
 public:
  explicit cold_fleet(double cold_per_second = kColdPerSecond)
      : ip_("127.44." + std::to_string(getpid() % 250) + ".1") {
    loop.UpdateNow();
    folder_ = std::filesystem::temp_directory_path().string() + "/cold-servers-XXXXXX";
    cr_assert(mkdtemp(folder_.data()) != nullptr);
    store = std::make_unique<drill_store>(loop, NewAddress(),
                                          [](const std::string&, const std::string*) {});
    WriteConfig(1, cold_per_second);
    for (int i = 0; i < kServers; ++i) {
      servers.push_back(std::make_unique<cold_server>(loop, *store, NewAddress()));
      servers.back()->Start("i-" + std::to_string(i), 0ms);
    }
    for (int i = 0; i < kHosts; ++i) {
      hosts.push_back(std::make_unique<host_process>(
          host_process::options{.program = NODE_PROGRAM,
                                .folder = folder_,
                                .name = "host-" + std::to_string(i),
                                .data_centre = "dc-" + std::to_string(i % 3),
                                .caller_address = NewAddress(),
                                .readiness_address = NewAddress(),
                                .directory_address = NewAddress(),
                                .peer_address = NewAddress(),
                                .metrics_address = NewAddress(),
                                .store_address = store->address()}));
      hosts.back()->Start();
      for (int k = 0; k < kCallersOfHost; ++k) {
        const int number = i * kCallersOfHost + k;
        callers_.push_back(std::make_unique<drill_caller>(
            loop,
            drill_caller::options{.host = hosts.back()->settings().caller_address,
                                  .id_prefix = "c" + std::to_string(100 + number),
                                  .seed = static_cast<std::uint64_t>(number)},
            [](random_source&) { return std::string("/s/"); },
            [this](const drill_caller::outcome& outcome) { OnOutcome(outcome); }));
      }
    }
    // All hosts serve, and each of them knows the others.
    for (const instant end = loop.UpdateNow() + 60s; loop.Now() < end && !IsServed();) {
      Reset();
      Run(2s);
    }
    cr_assert(IsServed(), "%d served, %d not", served_, failed_);
    Run(4s);
  }
  ~cold_fleet() {
    callers_.clear();
    hosts.clear();
    std::filesystem::remove_all(folder_);
  }

  void Run(duration time) {
    const auto end =
        loop.timers().Subscribe(loop.UpdateNow() + time, [this](instant) { loop.Stop(); });
    loop.Run();
    loop.timers().Cancel(end);
  }

  void WriteConfig(int version, double cold_per_second) {
    const std::string text =
        "{\"version\":" + std::to_string(version) +
        R"(,"routes":[{"name":"r","host":"h.example","prefix":"/s/","kind":"idempotent",)"
        R"("timeoutMs":2000,"targetLatencyMs":250,"service":"s","maxAttempts":2}],"services":[)"
        R"({"name":"s","healthPath":"/health","maxConns":192,"warmupS":3,"warmupPerS":)" +
        std::to_string(cold_per_second) +
        R"(}],"limits":{"maxHeaderBytes":4096,"maxBodyBytes":1000,"headerTimeoutMs":3000,)"
        R"("idleTimeoutMs":15000}})";
    store->Write("op/config", text, text);
  }

  void Reset() { served_ = failed_ = late_ = 0; }
  bool IsServed() const { return served_ > 20 && failed_ * 10 <= served_; }

  /** No cold server got too much, and what could not be served was rejected at once. */
  void CheckRule() const {
    for (const auto& server : servers) {
      cr_assert(server->most() <= kAllowed, "%zu requests in a second", server->most());
    }
    cr_assert(late_ * 20 <= failed_ + 20, "%d of %d rejections were late", late_, failed_);
  }
  void CheckServiceIsBack() {
    Reset();
    Run(3s);
    cr_assert(IsServed(), "%d served, %d not", served_, failed_);
  }

  event_loop loop;
  std::unique_ptr<drill_store> store;
  std::vector<std::unique_ptr<cold_server>> servers;
  std::vector<std::unique_ptr<host_process>> hosts;

 private:
  void OnOutcome(const drill_caller::outcome& outcome) {
    ++(outcome.status == 200 ? served_ : failed_);
    late_ += outcome.status != 200 && loop.Now() - outcome.sent > kAtOnce ? 1 : 0;
  }
  socket_address NewAddress() {
    while (true) {
      const socket_address address{.ip = ip_, .port = next_port_++};
      if (Listen(address)) {
        return address;
      }
    }
  }

  const std::string ip_;
  std::uint16_t next_port_ = 10'000;
  std::string folder_;
  std::vector<std::unique_ptr<drill_caller>> callers_;
  int served_ = 0;
  int failed_ = 0;
  /** Of the failed ones, those that took longer than kAtOnce. */
  int late_ = 0;
};

}  // namespace

// Guards against servers that crash together again and again: they return cold, and hosts sent them
// the whole load.
Test(cold_servers, servers_that_return_together_are_not_overloaded) {
  cold_fleet fleet;
  for (const auto& server : fleet.servers) {
    server->Crash();
  }
  fleet.Run(3600ms);
  for (const auto& server : fleet.servers) {
    server->RemoveEntry();
  }
  fleet.Run(900ms);
  fleet.Reset();
  for (std::size_t i = 0; i < fleet.servers.size(); ++i) {
    fleet.servers[i]->Start("j-" + std::to_string(i), kWarmUp);
  }
  fleet.Run(kWarmUp + 1s);
  fleet.CheckRule();
  fleet.CheckServiceIsBack();
}

// Guards against servers that return under their ids and get the whole load until hosts read their
// new entries.
Test(cold_servers, servers_whose_entries_come_late_are_not_overloaded) {
  cold_fleet fleet;
  for (const auto& server : fleet.servers) {
    server->Crash();
  }
  fleet.Run(2s);
  for (std::size_t i = 0; i < fleet.servers.size(); ++i) {
    fleet.servers[i]->Start("i-" + std::to_string(i), kWarmUp, 800ms);
  }
  fleet.Run(kWarmUp + 1s);
  fleet.CheckRule();
  fleet.CheckServiceIsBack();
}

// Guards against a server that turns cold while it runs and keeps the whole load; the others are
// warm and serve everything.
Test(cold_servers, a_server_that_turns_cold_again_is_not_overloaded) {
  cold_fleet fleet;
  fleet.Reset();
  fleet.servers[0]->TurnCold(5s, 800ms);
  fleet.Run(5s);
  fleet.CheckRule();
  cr_assert(fleet.IsServed());
}

// Guards against the same while the store is away, when only health checks tell it.
Test(cold_servers, a_server_that_turns_cold_without_the_store_is_not_overloaded) {
  cold_fleet fleet;
  fleet.store->GoAway(drill_store::mode_type::closed);
  fleet.Run(1s);
  fleet.Reset();
  // A health check each second, and the time of the news to the other hosts.
  fleet.servers[0]->TurnCold(6s, 1800ms);
  fleet.Run(6s);
  fleet.CheckRule();
  cr_assert(fleet.IsServed());
}

// Guards against hosts that keep to the value of an earlier configuration.
Test(cold_servers, a_limit_that_the_configuration_adds_is_kept) {
  cold_fleet fleet(0.0);
  for (const auto& server : fleet.servers) {
    server->TurnCold(10s, 3s);
  }
  fleet.WriteConfig(2, kColdPerSecond);
  fleet.Run(10s);
  fleet.CheckRule();
  fleet.CheckServiceIsBack();
}

// Guards against a sum that is exceeded while hosts are killed, start again, freeze and wake up,
// and so know different parts of the fleet.
Test(cold_servers, the_limit_is_kept_while_hosts_stop_and_start) {
  cold_fleet fleet;
  for (const auto& server : fleet.servers) {
    server->TurnCold(20s, 800ms);
  }
  fleet.Run(1s);
  fleet.hosts[0]->Kill();
  fleet.hosts[1]->Kill();
  fleet.hosts[2]->Signal(SIGSTOP);
  fleet.Run(2s);
  fleet.hosts[0]->Start();
  fleet.hosts[3]->Kill();
  fleet.Run(2s);
  fleet.hosts[2]->Signal(SIGCONT);
  fleet.hosts[1]->Start();
  fleet.hosts[3]->Start();
  fleet.Run(3s);
  for (const auto& host : fleet.hosts) {
    host->Kill();
  }
  fleet.Run(500ms);
  for (const auto& host : fleet.hosts) {
    host->Start();
  }
  fleet.Run(12s);
  for (const auto& server : fleet.servers) {
    cr_assert(server->most() <= kAllowed, "%zu requests in a second", server->most());
  }
  fleet.CheckServiceIsBack();
}
