#include <criterion/criterion.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "host_fixture.h"
#include "net/event_loop.h"
#include "net/http_server.h"
#include "net/http_text.h"
#include "net/receive_memory.h"
#include "net/server_connection.h"
#include "node/node_metrics.h"
#include "node/replica_pool.h"
#include "replicas/admission.h"
#include "replicas/replica_record.h"

using namespace limpetlever;

namespace {

/** A pool with one connection to a server on the same loop, whose clock can be put forward. */
struct pool_fixture {
  pool_fixture()
      : loop([this] { return ReadBootClock() + clock_ahead; }),
        address(FreeAddress()),
        server(std::make_unique<http_server>(loop,
                                             std::move(Listen(address).value()),
                                             [this](const auto& caller) {
                                               received.push_back(caller->request().target);
                                               on_request(caller);
                                             })) {
    record->registered = {.id = "s1", .service = "single", .address = address};
    record->is_registered = true;
    pool = std::make_unique<replica_pool>(loop, metrics, record, on_refused, memory);
    pool->SetMaxConnections(1);
  }

  /** Queues a request that may be sent until `time_left` has passed. */
  std::shared_ptr<replica_attempt> Send(const std::string& target, duration time_left) {
    auto attempt = std::make_shared<replica_attempt>();
    attempt->target = record;
    attempt->write_request = [this, target](duration left) {
      stated_times[target] = left;
      return outgoing_request{.head = "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n",
                              .body = nullptr};
    };
    attempt->deadline = loop.Now() + time_left;
    attempt->on_response = [](http_message&) { return true; };
    attempt->on_lost = [] {};
    attempt->on_failure = [this, target](attempt_failure failure) { failed[target] = failure; };
    attempt->on_excluded = [] { return false; };
    pool->Send(attempt);
    return attempt;
  }

  void RunFor(duration time) {
    loop.timers().Subscribe(loop.UpdateNow() + time, [this](instant) { loop.Stop(); });
    loop.Run();
  }

  duration clock_ahead{};
  event_loop loop;
  node_metrics metrics;
  std::shared_ptr<receive_memory> memory = std::make_shared<receive_memory>(1024 * 1024);
  const socket_address address;
  std::vector<std::string> received;
  std::map<std::string, attempt_failure> failed;
  /** What the requests say of the time left, by target. */
  std::map<std::string, duration> stated_times;
  std::function<void(const std::shared_ptr<server_connection>&)> on_request;
  const std::unique_ptr<http_server> server;
  const std::function<void(const std::string&)> on_refused;
  std::shared_ptr<replica_record> record = std::make_shared<replica_record>();
  std::unique_ptr<replica_pool> pool;
};

void AnswerOk(const std::shared_ptr<server_connection>& caller) {
  std::string head;
  AppendStatusLine(head, 200);
  caller->Answer(head, {});
}

}  // namespace

// Guards against a request that is sent after its caller has stopped waiting: after a delay of the
// process, an answer frees a connection before the timer of the waiting request runs.
Test(replica_pool, sends_no_attempt_after_its_deadline) {
  pool_fixture fixture;
  fixture.on_request = [&fixture](const auto& caller) {
    fixture.clock_ahead = std::chrono::seconds(2);
    AnswerOk(caller);
  };
  fixture.Send("/first", std::chrono::seconds(30));
  const auto late = fixture.Send("/late", std::chrono::seconds(1));
  fixture.Send("/in-time", std::chrono::seconds(30));
  fixture.RunFor(std::chrono::milliseconds(2500));
  const std::vector<std::string> expected = {"/first", "/in-time"};
  cr_assert(fixture.received == expected);
  cr_assert(late->connection == nullptr);
}

// Guards against a server that is told the time that was left when its request began to wait.
Test(replica_pool, a_request_states_the_time_that_is_left_when_it_is_sent) {
  constexpr std::chrono::seconds kTimeLeft(30);
  constexpr std::chrono::seconds kWait(2);
  pool_fixture fixture;
  fixture.on_request = [&](const auto& caller) {
    fixture.clock_ahead += kWait;
    AnswerOk(caller);
  };
  fixture.Send("/first", kTimeLeft);
  fixture.Send("/second", kTimeLeft);
  fixture.RunFor(std::chrono::milliseconds(4500));
  cr_assert(fixture.received.size() == 2);
  cr_assert(fixture.stated_times.at("/first") > kTimeLeft - kWait);
  cr_assert(fixture.stated_times.at("/second") <= kTimeLeft - kWait);
}

// Guards against a request that reaches a server long after it began to drain, and is lost when the
// server ends: it has waited for a connection, and no other server took it.
Test(replica_pool, sends_no_attempt_long_after_its_server_began_to_drain) {
  pool_fixture fixture;
  std::vector<std::shared_ptr<server_connection>> callers;
  fixture.on_request = [&](const auto& caller) { callers.push_back(caller); };
  fixture.Send("/first", std::chrono::seconds(30));
  fixture.Send("/soon", std::chrono::seconds(30));
  fixture.Send("/late", std::chrono::seconds(30));
  fixture.RunFor(std::chrono::milliseconds(200));
  fixture.record->registered.is_draining = true;
  UpdateExclusion(*fixture.record, fixture.loop.Now());
  AnswerOk(callers.back());
  fixture.RunFor(std::chrono::milliseconds(200));
  cr_assert(fixture.received.size() == 2, "it still serves what waits");
  fixture.clock_ahead += std::chrono::seconds(2);
  AnswerOk(callers.back());
  fixture.RunFor(std::chrono::milliseconds(200));
  const std::vector<std::string> expected = {"/first", "/soon"};
  cr_assert(fixture.received == expected);
  cr_assert(fixture.failed.at("/late") == attempt_failure::excluded);
}
