#include <criterion/criterion.h>

#include <algorithm>
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
#include "node/pool_listener.h"
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
    pool = std::make_unique<replica_pool>(loop, metrics, record, listener, memory);
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
  pool_listener listener;
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

// Guards against requests that waited for a server which could not be reached, and that all reach
// the cold process which has taken its place; and against a check of its warm-up that waits behind
// them, or whose answer is not used.
Test(replica_pool, a_server_that_is_reachable_again_is_asked_whether_it_is_cold) {
  pool_fixture fixture;
  fixture.record->warm_up.SetShare({.rank = 0, .hosts = 1, .fleet = 1}, true, fixture.loop.Now());
  fixture.record->warm_up.SetService(10.0, std::chrono::seconds(3), fixture.loop.Now());
  fixture.pool->SetHealthPath("/health");
  duration found_cold{};
  fixture.listener.on_cold = [&found_cold](const std::string&, duration left) {
    found_cold = left;
  };
  fixture.on_request = [](const auto& caller) {
    std::string head;
    AppendStatusLine(head, 200);
    if (caller->request().target == "/health") {
      AppendField(head, "Instance-Id", "s1");
      AppendField(head, "Cold-Ms", "1500");
    }
    caller->Answer(head, {});
  };
  fixture.record->load.OnUnreachable(fixture.loop.UpdateNow());
  for (int i = 0; i < 20; ++i) {
    fixture.Send("/waiting-" + std::to_string(i), std::chrono::seconds(30));
  }
  fixture.RunFor(std::chrono::milliseconds(300));
  cr_assert(fixture.received == std::vector<std::string>{"/health"}, "%zu requests",
            fixture.received.size());
  cr_assert(fixture.failed.size() == 20);
  cr_assert(found_cold == std::chrono::milliseconds(1500));
  const instant now = fixture.loop.UpdateNow();
  cr_assert(!fixture.record->warm_up.IsAssumed(now) && fixture.record->warm_up.IsLimiting(now));
}

// Guards against health checks of servers whose service has no limit for cold servers, which cost
// them a slot.
Test(replica_pool, a_service_without_a_limit_for_cold_servers_gets_no_health_checks) {
  pool_fixture fixture;
  fixture.pool->SetHealthPath("/health");
  fixture.on_request = [](const auto& caller) { AnswerOk(caller); };
  fixture.record->load.OnUnreachable(fixture.loop.UpdateNow());
  fixture.Send("/first", std::chrono::seconds(30));
  fixture.RunFor(std::chrono::milliseconds(300));
  for (int i = 0; i < 15; ++i) {
    fixture.pool->Sweep();
    fixture.RunFor(std::chrono::milliseconds(100));
  }
  cr_assert(fixture.received == std::vector<std::string>{"/first"});
}

// Guards against a health check without an answer that keeps its connection for ever.
Test(replica_pool, a_health_check_without_an_answer_ends) {
  pool_fixture fixture;
  fixture.record->warm_up.SetShare({.rank = 0, .hosts = 1, .fleet = 1}, true, fixture.loop.Now());
  fixture.record->warm_up.SetService(1000.0, std::chrono::seconds(1), fixture.loop.Now());
  fixture.pool->SetHealthPath("/health");
  std::vector<std::shared_ptr<server_connection>> unanswered;
  fixture.on_request = [&unanswered](const auto& caller) {
    if (caller->request().target == "/health") {
      unanswered.push_back(caller);
    } else {
      AnswerOk(caller);
    }
  };
  fixture.record->load.OnUnreachable(fixture.loop.UpdateNow());
  fixture.Send("/lost", std::chrono::seconds(30));
  fixture.RunFor(std::chrono::milliseconds(300));
  cr_assert(unanswered.size() == 1);
  fixture.clock_ahead += std::chrono::milliseconds(1500);
  fixture.loop.UpdateNow();
  fixture.pool->Sweep();
  fixture.Send("/later", std::chrono::seconds(30));
  fixture.RunFor(std::chrono::milliseconds(500));
  cr_assert(std::count(fixture.received.begin(), fixture.received.end(), "/later") == 1);
}

// Guards against a server that counts as warm since it was too full to answer a health check.
Test(replica_pool, a_rejected_health_check_says_nothing) {
  pool_fixture fixture;
  fixture.record->warm_up.SetShare({.rank = 0, .hosts = 1, .fleet = 1}, true, fixture.loop.Now());
  fixture.record->warm_up.SetService(10.0, std::chrono::seconds(3), fixture.loop.Now());
  fixture.pool->SetHealthPath("/health");
  fixture.on_request = [](const auto& caller) {
    std::string head;
    AppendStatusLine(head, 503);
    AppendField(head, "Not-Executed", "1");
    caller->Answer(head, {});
  };
  fixture.record->load.OnUnreachable(fixture.loop.UpdateNow());
  fixture.Send("/first", std::chrono::seconds(30));
  fixture.RunFor(std::chrono::milliseconds(300));
  cr_assert(fixture.received == std::vector<std::string>{"/health"});
  cr_assert(fixture.record->warm_up.IsAssumed(fixture.loop.UpdateNow()));
}
