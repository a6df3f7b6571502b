#ifndef TESTS_NODE_HOST_FIXTURE_H_
#define TESTS_NODE_HOST_FIXTURE_H_

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/http_text.h"
#include "net/server_connection.h"
#include "node/node_server.h"
#include "platform/standins/platform_store.h"

namespace limpetlever {

/**
 * A loopback address with a free port. The port is below those that the kernel assigns to other
 * sockets, and each test process takes its ports from a range of its own, so that no other process
 * can take it before it is used.
 */
inline socket_address FreeAddress() {
  constexpr int kFirstPort = 10'000;
  constexpr int kPortsPerProcess = 30;
  constexpr int kRanges = 700;
  static int next = kFirstPort + getpid() % kRanges * kPortsPerProcess;
  while (true) {
    const socket_address address{.ip = "127.0.0.1", .port = static_cast<std::uint16_t>(next++)};
    if (Listen(address)) {
      return address;
    }
  }
}

/** Behaviour of a simulated backend server. */
struct server_behaviour {
  /** Time between a request and its answer. */
  duration delay{};
  /** Number of requests that it refuses without running them. */
  int refusals = 0;
  /** Number of requests that it answers with a failure of its own. */
  int failures = 0;
  /** Whether it resets the connection after running a request instead of answering. */
  bool loses_answers = false;
  /** Whether its answers say that it is leaving. */
  bool is_leaving = false;
  /** The Retry-After field of its refusals; empty: none. */
  std::string retry_after = {};
  /** The status of its answers, as text; empty: 200. */
  std::string status = {};
  /** Whether it answers 503 after it has run a request. */
  bool denies_runs = false;
  /**
   * Whether it refuses every other request, and sends a second copy of each refusal late, where
   * the answer to the next request on the connection is expected.
   */
  bool repeats_refusals = false;
  /** Requests so far, if it repeats refusals. */
  int turn = 0;
};

/** The response to a test's request; the status is 0 if there was none. */
struct answer {
  int status = 0;
  std::string body;
  std::map<std::string, std::string> fields;
};

/**
 * Runs one host, the store and backend servers with real sockets on loopback: two shards with two
 * servers each, and a service of two servers for requests that may run only once.
 */
class host_fixture {
 public:
  using behaviour_map = std::map<std::string, server_behaviour>;

  explicit host_fixture(const behaviour_map& behaviour = {}) {
    std::atomic<bool> is_ready = false;
    environment_thread_ = std::thread([&] {
      event_loop loop;
      platform::platform_store store(loop);
      store.SetEra(1);
      std::vector<std::unique_ptr<http_server>> servers;
      for (const char* id : {"a1", "a2", "b1", "b2", "s1", "s2"}) {
        const auto found = behaviour.find(id);
        AddServer(loop, store, servers, id,
                  found == behaviour.end() ? server_behaviour{} : found->second);
      }
      store.Write("op/config", kConfig);
      store_address_ = store.address();
      is_ready = true;
      loop.timers().SubscribeEvery(loop.Now(), std::chrono::milliseconds(10), [&](instant) {
        if (is_stopping_) {
          loop.Stop();
        }
        {
          const std::lock_guard lock(mutex_);
          for (const auto& [key, value] : std::exchange(pending_writes_, {})) {
            store.Write(key, value);
          }
          for (const auto& call : std::exchange(store_calls_, {})) {
            call(store);
          }
          for (const std::string& key : std::exchange(pending_removals_, {})) {
            store.Remove(key);
          }
          store.SetMode(platform::platform_store::mode_type::silent);
          for (const auto& [key, value] : std::exchange(unnoticed_writes_, {})) {
            store.Write(key, value);
          }
          store.SetMode(platform::platform_store::mode_type::normal);
        }
        if (must_restart_servers_) {
          RestartCrashed(servers);
          must_restart_servers_ = false;
        }
      });
      loop.Run();
    });
    while (!is_ready) {
      std::this_thread::yield();
    }
    settings_.name = "host";
    settings_.region = "r";
    settings_.data_centre = "dc-a";
    settings_.caller_address = FreeAddress();
    settings_.readiness_address = FreeAddress();
    settings_.directory_address = FreeAddress();
    settings_.peer_address = FreeAddress();
    settings_.metrics_address = FreeAddress();
    settings_.store_address = store_address_;
    StartHost();
  }

  void StartHost() {
    auto created = node_server::Create("/nonexistent", settings_, [this] {
      std::this_thread::sleep_for(std::chrono::milliseconds(host_freeze_ms_.exchange(0)));
      return ReadBootClock() + std::chrono::milliseconds(host_clock_ahead_ms_);
    });
    cr_assert(created, "%s", created ? "" : created.error().message.c_str());
    server_ = std::move(created.value());
    host_thread_ = std::thread([this] { server_->Run(); });
  }

  ~host_fixture() {
    if (host_thread_.joinable()) {
      kill(getpid(), SIGTERM);
      host_thread_.join();
    }
    is_stopping_ = true;
    environment_thread_.join();
  }

  /** Waits until the host has stopped, and closes its sockets as the end of its process would. */
  void WaitUntilStopped() {
    host_thread_.join();
    server_.reset();
  }

  /**
   * Waits until the host has read its configuration and backend servers, which it reads together.
   */
  void WaitUntilReady() const {
    while (Get(settings_.readiness_address, "/readiness").status != 200 ||
           SendRequest("GET", "/q/ready", "ready").status != 200) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  static answer Get(const socket_address& address, const std::string& target) {
    Poco::Net::HTTPRequest request("GET", target, "HTTP/1.1");
    return Exchange(address, request, {});
  }

  answer SendRequest(const std::string& method,
                     const std::string& target,
                     const std::string& id,
                     const std::string& body = {},
                     int deadline_ms = 20000,
                     const std::string& caller_ip = "127.0.0.1") const {
    Poco::Net::HTTPRequest request(method, target, "HTTP/1.1");
    request.setHost("h.example");
    request.set("Attempt-Id", id);
    request.set("Deadline-Ms", std::to_string(deadline_ms));
    return Exchange(settings_.caller_address, request, body, caller_ip);
  }

  /** How often the servers ran the request with this id. */
  int RunCount(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return runs_[id];
  }
  /** The body with which a server has last run the request with this id. */
  std::string LastBody(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return bodies_[id];
  }
  /** The time limits that the servers were given for the requests that they have run. */
  std::vector<int> TimeLimits() {
    const std::lock_guard lock(mutex_);
    return time_limits_ms_;
  }
  /** How often a connection was closed while a server ran the request with this id. */
  int ClosedCount(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return closed_[id];
  }

  /** How many requests this server has run. */
  int ServedCount(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return served_[id];
  }
  /** How many requests this server has refused. */
  int RefusalCount(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return refused_[id];
  }

  /** Restarts the servers that a request for ".../poison" has crashed, and waits until they run. */
  void RestartServers() {
    must_restart_servers_ = true;
    while (must_restart_servers_) {
      std::this_thread::yield();
    }
  }

  /** Writes a key of the store, as another program would. */
  void WriteToStore(const std::string& key, std::string value) {
    const std::lock_guard lock(mutex_);
    pending_writes_.emplace_back(key, std::move(value));
  }

  /** Calls `call` on the thread of the store and waits for its end. */
  void OnStore(const std::function<void(platform::platform_store&)>& call) {
    std::atomic<bool> is_done = false;
    {
      const std::lock_guard lock(mutex_);
      store_calls_.emplace_back([&](platform::platform_store& store) {
        call(store);
        is_done = true;
      });
    }
    while (!is_done) {
      std::this_thread::yield();
    }
  }

  /** Lets this time pass for the host at once, as while its process is paused. */
  void PauseHost(std::chrono::milliseconds time) { host_clock_ahead_ms_ += time.count(); }

  /**
   * Stops the host's thread for this time at its next step, as a frozen process, while the servers
   * and the callers go on.
   */
  void FreezeHost(std::chrono::milliseconds time) { host_freeze_ms_ = time.count(); }

  /** Writes a key without telling the host, which is paused. */
  void WriteUnnoticed(const std::string& key, std::string value) {
    const std::lock_guard lock(mutex_);
    unnoticed_writes_.emplace_back(key, std::move(value));
  }
  bool HasUnnoticedWrites() {
    const std::lock_guard lock(mutex_);
    return !unnoticed_writes_.empty();
  }

  /** The configuration that is in the store at the start. */
  static std::string Config() { return kConfig; }
  /** The entry that a server has written. */
  const std::string& EntryOf(const std::string& id) const { return entries_.at(id); }
  /** Writes the entry of a server again, as it does after its entry has been replaced. */
  void RegisterServer(const std::string& id) { WriteToStore("servers/" + id, entries_.at(id)); }
  /** Writes that a server is draining, as it does before it leaves. */
  void DrainServer(const std::string& id) {
    std::string entry = entries_.at(id);
    const std::string ready = "\"ready\"";
    WriteToStore("servers/" + id, entry.replace(entry.find(ready), ready.size(), "\"draining\""));
  }

  /** Removes a key of the store, as another program would. */
  void RemoveFromStore(const std::string& key) {
    const std::lock_guard lock(mutex_);
    pending_removals_.push_back(key);
  }

  /** The value of a metric of the host; 0 if it has none of that name. */
  double Metric(const std::string& name) const {
    const std::string text = Get(settings_.metrics_address, "/metrics").body;
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos ? 0.0 : std::stod(text.substr(at + name.size() + 2));
  }

  const node_settings& settings() const { return settings_; }

 private:
  static constexpr const char* kConfig = R"({"version":5,"routes":[
    {"name":"q","host":"h.example","prefix":"/q/","kind":"idempotent","timeoutMs":20000,
     "targetLatencyMs":10000,"fanout":["shard-a","shard-b"],"maxAttempts":2,"topK":3,"minShardRatio":1.0},
    {"name":"p","host":"h.example","prefix":"/p/","kind":"non_idempotent","timeoutMs":20000,
     "targetLatencyMs":10000,"service":"single","maxAttempts":2},
    {"name":"i","host":"h.example","prefix":"/i/","kind":"idempotent","timeoutMs":20000,
     "targetLatencyMs":10000,"service":"single","maxAttempts":2}],
    "services":[],"limits":{"maxHeaderBytes":4096,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

  /** A session whose connections come from a given address. */
  class session_from : public Poco::Net::HTTPClientSession {
   public:
    session_from(std::string caller_ip, const socket_address& address)
        : HTTPClientSession(address.ip, address.port), caller_ip_(std::move(caller_ip)) {}

   protected:
    void connect(const Poco::Net::SocketAddress& address) override {
      socket().impl()->bind(Poco::Net::SocketAddress(caller_ip_, 0));
      HTTPClientSession::connect(address);
    }

   private:
    const std::string caller_ip_;
  };

  static answer Exchange(const socket_address& address,
                         Poco::Net::HTTPRequest& request,
                         const std::string& body,
                         const std::string& caller_ip = "127.0.0.1") {
    answer received;
    try {
      session_from session(caller_ip, address);
      session.setTimeout(Poco::Timespan(60, 0));
      if (!body.empty()) {
        request.setContentLength(static_cast<std::streamsize>(body.size()));
      }
      session.sendRequest(request) << body;
      Poco::Net::HTTPResponse response;
      Poco::StreamCopier::copyToString(session.receiveResponse(response), received.body);
      received.status = response.getStatus();
      for (const auto& [name, value] : response) {
        received.fields[name] = value;
      }
    } catch (const Poco::Exception&) {
      received.status = 0;
    }
    return received;
  }

  void AddServer(event_loop& loop,
                 platform::platform_store& store,
                 std::vector<std::unique_ptr<http_server>>& servers,
                 const std::string& id,
                 server_behaviour behaviour) {
    const socket_address address = FreeAddress();
    const std::string service = id[0] == 's' ? "single" : std::string("shard-") + id[0];
    auto state = std::make_shared<server_behaviour>(behaviour);
    const std::size_t number = servers.size();
    const auto start = [this, &loop, &servers, id, state, number, address] {
      return std::make_unique<http_server>(
          loop, std::move(Listen(address).value()),
          [this, &loop, &servers, id, state, number](const auto& caller) {
            if (caller->request().target.ends_with("/silent-poison")) {
              // As a host that loses power: the connection stays open, and new ones are refused.
              servers[number]->StopListening();
              hung_callers_.push_back(caller);
              RecordRun(caller);
            } else if (caller->request().target.ends_with("/poison") && state->failures == 0) {
              Crash(loop, servers, id, number, caller);
            } else {
              Serve(loop, id, *state, caller);
            }
          });
    };
    servers.push_back(start());
    start_functions_.push_back(start);
    entries_[id] = "{\"service\":\"" + service +
                   "\",\"address\":\"127.0.0.1:" + std::to_string(address.port) +
                   "\",\"zone\":\"dc-a\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\"," +
                   R"("warmupLeftMs":0,"seq":1,"born":1})";
    store.Write("servers/" + id, entries_[id]);
  }

  /** Stops listening and resets the connection, as a crash of the server's process would. */
  void Crash(event_loop& loop,
             std::vector<std::unique_ptr<http_server>>& servers,
             const std::string& id,
             std::size_t number,
             const std::shared_ptr<server_connection>& caller) {
    if (caller->request().Find("Target-Instance") != id) {
      return;
    }
    RecordRun(caller);
    servers[number]->StopListening();
    caller->Abort();
    loop.Defer([held = std::shared_ptr<http_server>(std::move(servers[number]))] {});
  }

  void RecordRun(const std::shared_ptr<server_connection>& caller) {
    const std::lock_guard lock(mutex_);
    const std::string id(caller->request().Find("Attempt-Id"));
    ++runs_[id];
    bodies_[id] = caller->request().body;
    time_limits_ms_.push_back(std::stoi(std::string(caller->request().Find("Deadline-Ms"))));
  }

  void Count(std::map<std::string, int>& counts, const std::string& id) {
    const std::lock_guard lock(mutex_);
    ++counts[id];
  }

  void RestartCrashed(std::vector<std::unique_ptr<http_server>>& servers) {
    hung_callers_.clear();
    for (std::size_t i = 0; i < servers.size(); ++i) {
      if (!servers[i] || !servers[i]->IsListening()) {
        servers[i].reset();
        servers[i] = start_functions_[i]();
      }
    }
  }

  void Serve(event_loop& loop,
             const std::string& id,
             server_behaviour& behaviour,
             const std::shared_ptr<server_connection>& caller) {
    const std::string request_id(caller->request().Find("Attempt-Id"));
    std::string head;
    if (caller->request().Find("Target-Instance") != id) {
      AppendStatusLine(head, 421);
      caller->Answer(head, {});
      return;
    }
    const bool refuses_by_turns = behaviour.repeats_refusals && ++behaviour.turn % 2 == 1;
    if (behaviour.refusals > 0 || refuses_by_turns) {
      behaviour.refusals -= refuses_by_turns ? 0 : 1;
      Count(refused_, id);
      AppendStatusLine(head, 503);
      AppendField(head, "Not-Executed", "1");
      AppendField(head, "Attempt-Id", request_id);
      if (!behaviour.retry_after.empty()) {
        AppendField(head, "Retry-After", behaviour.retry_after);
      }
      if (behaviour.repeats_refusals) {
        late_copies_[caller.get()] = head + "Content-Length: 0\r\n\r\n";
      }
      caller->Answer(head, {});
      return;
    }
    RecordRun(caller);
    Count(served_, id);
    head = std::exchange(late_copies_[caller.get()], {});
    if (behaviour.denies_runs) {
      AppendStatusLine(head, 503);
      AppendField(head, "Attempt-Id", request_id);
      caller->Answer(head, {});
      return;
    }
    if (behaviour.failures > 0) {
      --behaviour.failures;
      AppendStatusLine(head, 500);
      AppendField(head, "Response-Seal", "sig-" + id);
      caller->Answer(head, {});
      return;
    }
    caller->OnCallerDisconnected([this, request_id] {
      const std::lock_guard lock(mutex_);
      ++closed_[request_id];
    });
    loop.timers().Subscribe(
        loop.Now() + behaviour.delay, [id, request_id, &behaviour, caller, head](instant) {
          if (behaviour.loses_answers) {
            caller->Abort();
            return;
          }
          std::string answer_head = head;
          answer_head +=
              "HTTP/1.1 " + (behaviour.status.empty() ? "200" : behaviour.status) + " OK\r\n";
          AppendField(answer_head, "Attempt-Id", request_id);
          AppendField(answer_head, "Response-Seal", "sig-" + id);
          if (behaviour.is_leaving) {
            AppendField(answer_head, "Server-Leaving", "1");
          }
          caller->Answer(answer_head, id + std::string(16 - id.size(), '.'));
        });
  }

  node_settings settings_;
  socket_address store_address_;
  std::atomic<bool> must_restart_servers_ = false;
  std::vector<std::function<std::unique_ptr<http_server>()>> start_functions_;
  /** Connections of requests that a server stopped to work on without closing them. */
  std::vector<std::shared_ptr<server_connection>> hung_callers_;
  std::atomic<bool> is_stopping_ = false;
  std::mutex mutex_;
  std::vector<std::pair<std::string, std::string>> pending_writes_;
  std::vector<std::string> pending_removals_;
  std::vector<std::pair<std::string, std::string>> unnoticed_writes_;
  std::vector<std::function<void(platform::platform_store&)>> store_calls_;
  std::atomic<std::int64_t> host_clock_ahead_ms_ = 0;
  std::atomic<std::int64_t> host_freeze_ms_ = 0;
  /** Entries of the servers in the store, by id. */
  std::map<std::string, std::string> entries_;
  std::map<std::string, int> runs_;
  std::map<std::string, std::string> bodies_;
  std::vector<int> time_limits_ms_;
  std::map<std::string, int> served_;
  std::map<std::string, int> refused_;
  /** Second copies of refusals that are still to be sent, by connection. */
  std::map<const server_connection*, std::string> late_copies_;
  std::map<std::string, int> closed_;
  std::thread environment_thread_;
  std::unique_ptr<node_server> server_;
  std::thread host_thread_;
};

}  // namespace limpetlever

#endif  // TESTS_NODE_HOST_FIXTURE_H_
