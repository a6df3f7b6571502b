#include <unistd.h>

#include <fstream>
#include <string>
#include <vector>

#include "endless_server.h"
#include "host_fixture.h"

using namespace limpetlever;

namespace {

// A server accepts this many connections of all hosts together; one host may have all of them.
constexpr int kMaxConnections = 192;
constexpr int kRequests = 170;
// Most of what a host reads of the body and of the head of one answer before it gives it up.
constexpr std::size_t kBodyBytes = 1000 * 1024;
constexpr std::size_t kHeadBytes = 70 * 1024;
// The memory of the users' hosts, less what a host needs for its own.
constexpr std::size_t kMemoryBytes = 150 * 1024 * 1024;

// The share of the default memory of a host for incomplete answers.
constexpr double kAnswerBytes = 32.0 * 1024 * 1024;

std::size_t ResidentBytes() {
  std::ifstream in("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  in >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/** Sends a request for the faulty server and leaves its answer unread. */
socket_handle SendWithoutReading(const socket_address& host, int number) {
  socket_handle handle = std::move(BeginConnect(host).value());
  const std::string request = "POST /e/1 HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: e-" +
                              std::to_string(number) +
                              "\r\nDeadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n";
  while (send(handle.fd(), request.data(), request.size(), MSG_NOSIGNAL) < 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return handle;
}

/** Adds a service whose only server is the faulty one. */
void AddFaultyServer(host_fixture& fixture, const endless_server& faulty) {
  fixture.WriteToStore("servers/e1",
                       R"({"service":"endless","address":"127.0.0.1:)" +
                           std::to_string(faulty.address().port) +
                           R"(","zone":"dc-a","version":"v1","slots":200,"state":"ready",)"
                           R"("warmupLeftMs":0,"seq":1,"born":1})");
  std::string config = fixture.Config();
  config.replace(config.find("\"version\":5"), 11, "\"version\":6");
  const std::string routes = "\"routes\":[";
  config.insert(
      config.find(routes) + routes.size(),
      R"({"name":"e","host":"h.example","prefix":"/e/","kind":"non_idempotent",)"
      R"("timeoutMs":20000,"targetLatencyMs":10000,"service":"endless","maxAttempts":1},)");
  const std::string services = "\"services\":[";
  config.insert(config.find(services) + services.size(),
                R"({"name":"endless","maxConns":)" + std::to_string(kMaxConnections) + "}");
  fixture.WriteToStore("op/config", config);
  while (fixture.Metric("limpetlever_config_version") != 6) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

/** Plays a faulty server beside good ones, and checks that these serve and the memory suffices. */
void PlayFaultyServer(const std::string& first, const std::string& repeated, std::size_t bytes) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  endless_server faulty(first, repeated, bytes);
  AddFaultyServer(fixture, faulty);
  const std::size_t before = ResidentBytes();
  std::vector<socket_handle> callers;
  for (int i = 0; i < kRequests; ++i) {
    callers.push_back(SendWithoutReading(fixture.settings().caller_address, i));
  }
  std::size_t peak = before;
  for (int i = 0; i < 60; ++i) {
    cr_assert(fixture.SendRequest("GET", "/i/1", "id-" + std::to_string(i)).status == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    peak = std::max(peak, ResidentBytes());
    const double held = fixture.Metric("limpetlever_incomplete_answer_bytes");
    cr_assert(held <= kAnswerBytes, "%.0f", held);
  }
#if !defined(__SANITIZE_ADDRESS__)
  // Sanitizers keep memory that was freed.
  cr_assert(peak - before < kMemoryBytes, "%zu MB", (peak - before) / 1024 / 1024);
#endif
}

}  // namespace

// Guards against a host that runs out of memory, so that the requests of all its callers are lost:
// a faulty server sends a body without end on each of many connections.
Test(endless_answers, bodies_do_not_exhaust_the_memory) {
  PlayFaultyServer("HTTP/1.1 200 OK\r\nResponse-Seal: x\r\n\r\n", "x", kBodyBytes);
}

// As above, with heads of very many short fields.
Test(endless_answers, heads_do_not_exhaust_the_memory) {
  PlayFaultyServer("HTTP/1.1 200 OK\r\n", "a:\r\n", kHeadBytes);
}
