#ifndef TESTS_MEMORY_PROCESS_FIXTURE_H_
#define TESTS_MEMORY_PROCESS_FIXTURE_H_

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "memory/node_process.h"
#include "memory/silent_listener.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/http_text.h"
#include "net/server_connection.h"
#include "node/host_fixture.h"
#include "platform/standins/platform_store.h"

namespace limpetlever {

/**
 * One host in a process of its own, with little memory; the store, a backend server that answers
 * every request with kAnswerBytes, and one that never answers run in the process of the test.
 */
class process_fixture {
 public:
  static constexpr std::size_t kMemoryMb = 48;
  static constexpr std::size_t kMaxDescriptors = 1000;
  static constexpr std::size_t kMaxBodyBytes = 262'144;
  static constexpr std::size_t kAnswerBytes = 64 * 1024;

  process_fixture() {
    std::atomic<bool> is_ready = false;
    environment_thread_ = std::thread([&] { RunEnvironment(is_ready); });
    while (!is_ready) {
      std::this_thread::yield();
    }
    caller_address_ = FreeAddress();
    readiness_address_ = FreeAddress();
    directory_address_ = FreeAddress();
    metrics_address_ = FreeAddress();
    process_ = std::make_unique<node_process>(Settings());
    while (host_fixture::Get(readiness_address_, "/readiness").status != 200 ||
           Send("GET", "/i/ready").status != 200) {
      cr_assert(process_->IsRunning(), "the process has not started");
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }
  ~process_fixture() {
    process_.reset();
    is_stopping_ = true;
    environment_thread_.join();
  }

  node_process& process() { return *process_; }
  const socket_address& caller_address() const { return caller_address_; }
  const socket_address& readiness_address() const { return readiness_address_; }
  const socket_address& directory_address() const { return directory_address_; }
  const socket_address& metrics_address() const { return metrics_address_; }

  /** Sends one ordinary request, on a connection of its own. */
  answer Send(const std::string& method, const std::string& target, std::size_t body_bytes = 0) {
    answer received;
    try {
      Poco::Net::HTTPClientSession session(caller_address_.ip, caller_address_.port);
      session.setTimeout(Poco::Timespan(60, 0));
      Poco::Net::HTTPRequest request(method, target, "HTTP/1.1");
      request.setHost("h.example");
      request.set("Attempt-Id", "own-" + std::to_string(++request_count_));
      request.set("Deadline-Ms", "20000");
      if (body_bytes > 0) {
        request.setContentLength(static_cast<std::streamsize>(body_bytes));
      }
      session.sendRequest(request) << std::string(body_bytes, 'b');
      Poco::Net::HTTPResponse response;
      Poco::StreamCopier::copyToString(session.receiveResponse(response), received.body);
      received.status = response.getStatus();
    } catch (const Poco::Exception&) {
      received.status = 0;
    }
    return received;
  }

 private:
  static constexpr const char* kConfig = R"({"version":5,"routes":[
    {"name":"i","host":"h.example","prefix":"/i/","kind":"idempotent","timeoutMs":20000,
     "targetLatencyMs":10000,"service":"answering","maxAttempts":2},
    {"name":"s","host":"h.example","prefix":"/s/","kind":"non_idempotent","timeoutMs":20000,
     "targetLatencyMs":10000,"service":"silent","maxAttempts":1}],
    "services":[{"name":"answering","maxConns":50},{"name":"silent","maxConns":192}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":60000,
     "idleTimeoutMs":60000}})";

  static std::string Entry(const std::string& service, const socket_address& address) {
    return "{\"service\":\"" + service +
           "\",\"address\":\"127.0.0.1:" + std::to_string(address.port) +
           "\",\"zone\":\"dc-a\",\"version\":\"v1\",\"slots\":200,\"state\":\"ready\"," +
           R"("warmupLeftMs":0,"seq":1,"born":1})";
  }

  void RunEnvironment(std::atomic<bool>& is_ready) {
    event_loop loop;
    platform::platform_store store(loop);
    const silent_listener silent;
    const socket_address address = FreeAddress();
    const auto answering = std::make_unique<http_server>(
        loop, std::move(Listen(address).value()), [](const auto& caller) {
          std::string head = "HTTP/1.1 200 OK\r\n";
          AppendField(head, "Attempt-Id", caller->request().Find("Attempt-Id"));
          AppendField(head, "Response-Seal", "sig");
          caller->Answer(head, std::string(kAnswerBytes, 'a'));
        });
    store.Write("servers/a1", Entry("answering", address));
    store.Write("servers/s1", Entry("silent", silent.address()));
    store.Write("op/config", kConfig);
    store_address_ = store.address();
    is_ready = true;
    loop.timers().SubscribeEvery(loop.Now(), std::chrono::milliseconds(10), [&](instant) {
      if (is_stopping_) {
        loop.Stop();
      }
    });
    loop.Run();
  }

  std::string Settings() const {
    const auto field = [](const char* name, const socket_address& address) {
      return std::string("\"") + name + "\":\"127.0.0.1:" + std::to_string(address.port) + "\",";
    };
    return R"({"name":"host","region":"r","data_centre":"dc-a",)" +
           field("caller_address", caller_address_) +
           field("readiness_address", readiness_address_) +
           field("directory_address", directory_address_) +
           field("metrics_address", metrics_address_) + field("store_address", store_address_) +
           field("peer_address", FreeAddress()) +
           "\"max_descriptors\":" + std::to_string(kMaxDescriptors) +
           ",\"memory_mb\":" + std::to_string(kMemoryMb) + "}";
  }

  socket_address store_address_;
  socket_address caller_address_;
  socket_address readiness_address_;
  socket_address directory_address_;
  socket_address metrics_address_;
  std::atomic<bool> is_stopping_ = false;
  std::thread environment_thread_;
  std::unique_ptr<node_process> process_;
  int request_count_ = 0;
};

}  // namespace limpetlever

#endif  // TESTS_MEMORY_PROCESS_FIXTURE_H_
