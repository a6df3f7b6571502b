#include "host_fixture.h"

using namespace limpetlever;

// Guards against a break in the request path from end to end: a merged answer with its parts, a
// forwarded answer of a single server, an unknown route, a body over the limit, readiness, the
// directory and metrics.
Test(node_server, serves_requests_end_to_end) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  const answer merged = fixture.SendRequest("GET", "/q/1", "id-1");
  cr_assert(merged.status == 200 && merged.body.size() == 32);
  cr_assert(merged.body[0] == 'b' && merged.body[16] == 'a',
            "the part with the greatest value is first");
  cr_assert(merged.fields.at("Part-Stamps").find("sig-") != std::string::npos);
  const answer single = fixture.SendRequest("POST", "/p/1", "id-2", "body");
  cr_assert(single.status == 200 && single.body.size() == 16);
  cr_assert(single.fields.at("Response-Seal") == "sig-" + single.body.substr(0, 2));
  cr_assert(fixture.RunCount("id-2") == 1);
  cr_assert(fixture.SendRequest("GET", "/none/1", "id-3").status == 404);
  cr_assert(fixture.SendRequest("POST", "/p/1", "id-4", std::string(1001, 'x')).status == 413);
  const auto directory = host_fixture::Get(*fixture.settings().directory_address,
                                           "/lookup?name=h.example&region=r&zone=dc-a");
  cr_assert(directory.body.find(std::to_string(fixture.settings().caller_address.port)) !=
            std::string::npos);
  cr_assert(host_fixture::Get(fixture.settings().metrics_address, "/metrics")
                .body.find("limpetlever_answers_total") != std::string::npos);
}

// Guards against a host that reports a store as unreachable from its start until the end of the
// first outage.
Test(node_server, reports_a_store_that_answers_as_reachable) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  cr_assert(fixture.Metric("limpetlever_store_reachable") == 1);
  cr_assert(fixture.Metric("limpetlever_store_revision") > 0);
}

// Guards against a request that may run only once being run again after its answer was lost, or
// being reported as not run.
Test(node_server, a_lost_answer_is_not_retried) {
  host_fixture fixture({{"s1", {.loses_answers = true}}, {"s2", {.loses_answers = true}}});
  fixture.WaitUntilReady();
  cr_assert(fixture.SendRequest("POST", "/p/1", "id-1", "body").status == 502);
  cr_assert(fixture.RunCount("id-1") == 1);
}

// Guards against an answer whose status HTTP does not have: a caller gets it, or waits until its
// deadline although the server has answered.
Test(node_server, an_answer_with_an_invalid_status_is_no_answer) {
  constexpr int kDeadlineMs = 4000;
  for (const char* status : {"000", "099", "101", "600", "999"}) {
    host_fixture fixture({{"s1", {.status = status}}, {"s2", {.status = status}}});
    fixture.WaitUntilReady();
    const answer once = fixture.SendRequest("POST", "/p/1", "id-1", "body", kDeadlineMs);
    cr_assert(once.status == 502, "%s: %d", status, once.status);
    cr_assert(fixture.RunCount("id-1") == 1, "the request may have run");
    const answer repeated = fixture.SendRequest("GET", "/i/1", "id-2", {}, kDeadlineMs);
    cr_assert(repeated.status == 502, "%s: %d", status, repeated.status);
  }
}

// Guards against a request that may be repeated and is not served, although another server answers
// it.
Test(node_server, another_server_answers_after_an_invalid_status) {
  host_fixture fixture({{"s1", {.status = "000"}}});
  fixture.WaitUntilReady();
  for (int i = 0; i < 10; ++i) {
    const std::string id = "id-" + std::to_string(i);
    cr_assert(fixture.SendRequest("GET", "/i/1", id, {}, 4000).status == 200);
  }
}

// Guards against not retrying a request that servers refused, or reporting it as run.
Test(node_server, a_refused_request_is_retried) {
  host_fixture fixture({{"s1", {.refusals = 1}}, {"s2", {.refusals = 1}}});
  fixture.WaitUntilReady();
  const answer response = fixture.SendRequest("POST", "/p/1", "id-1", "body");
  cr_assert(response.status == 200);
  cr_assert(fixture.RunCount("id-1") == 1);
}

// Guards against a graceful stop that drops a request in progress, and against directing callers to
// a host that is leaving.
Test(node_server, a_graceful_stop_answers_requests_in_progress) {
  host_fixture fixture({{"s1", {.delay = std::chrono::milliseconds(700)}},
                        {"s2", {.delay = std::chrono::milliseconds(700)}}});
  fixture.WaitUntilReady();
  answer response;
  std::thread caller([&] { response = fixture.SendRequest("POST", "/p/1", "id-1", "body"); });
  while (fixture.RunCount("id-1") == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  kill(getpid(), SIGTERM);
  caller.join();
  cr_assert(response.status == 200 && response.body.size() == 16);
  cr_assert(host_fixture::Get(fixture.settings().readiness_address, "/readiness").status == 503);
  cr_assert(host_fixture::Get(*fixture.settings().directory_address, "/lookup?name=h").status !=
            200);
  fixture.WaitUntilStopped();
  cr_assert(host_fixture::Get(fixture.settings().readiness_address, "/readiness").status == 0);
}

// Guards against servers that go on working for a caller that has closed its connection.
Test(node_server, a_closed_caller_connection_cancels_attempts) {
  host_fixture fixture(
      {{"s1", {.delay = std::chrono::seconds(30)}}, {"s2", {.delay = std::chrono::seconds(30)}}});
  fixture.WaitUntilReady();
  {
    Poco::Net::HTTPClientSession session(fixture.settings().caller_address.ip,
                                         fixture.settings().caller_address.port);
    Poco::Net::HTTPRequest request("GET", "/p/1", "HTTP/1.1");
    request.setHost("h.example");
    request.set("Attempt-Id", "id-1");
    session.sendRequest(request);
    session.flushRequest();
    while (fixture.RunCount("id-1") == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  while (fixture.ClosedCount("id-1") == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

// Guards against a request that crashes one server after another: it has crashed two servers, and
// its caller sends it again.
Test(node_server, a_request_that_crashes_servers_is_blocked) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  cr_assert(fixture.SendRequest("GET", "/i/poison", "id-1").status == 502);
  cr_assert(fixture.RunCount("id-1") == 2);
  fixture.RestartServers();
  while (fixture.SendRequest("GET", "/i/1", "id-2").status != 200) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  const answer again = fixture.SendRequest("GET", "/i/poison", "id-3");
  cr_assert(again.status == 503 && fixture.RunCount("id-3") == 0);
  cr_assert(fixture.SendRequest("GET", "/i/2", "id-4").status == 200, "other requests are served");
}

// Guards against a server that works on a request longer than its caller waits: a request that has
// waited for a connection has less time left than when it arrived.
Test(node_server, the_time_limit_of_a_server_is_what_is_left_when_the_request_is_sent) {
  constexpr int kRequests = 40;  // More than the connections to both servers.
  constexpr int kDeadlineMs = 10000;
  constexpr std::chrono::milliseconds kWork(2000);
  // A request that waits for a connection waits for a run, less the time between the arrivals of
  // the requests, which on a busy machine take some hundred milliseconds.
  constexpr int kMinWaitMs = 1000;
  host_fixture fixture({{"s1", {.delay = kWork}}, {"s2", {.delay = kWork}}});
  fixture.WaitUntilReady();
  const std::size_t before = fixture.TimeLimits().size();
  std::vector<std::thread> callers;
  for (int i = 0; i < kRequests; ++i) {
    callers.emplace_back([&fixture, i] {
      fixture.SendRequest("POST", "/p/" + std::to_string(i), "id-" + std::to_string(i), "body",
                          kDeadlineMs);
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  auto limits = fixture.TimeLimits();
  limits.erase(limits.begin(), limits.begin() + static_cast<std::ptrdiff_t>(before));
  cr_assert(limits.size() == kRequests, "%zu", limits.size());
  const auto waited = std::count_if(limits.begin(), limits.end(),
                                    [](int limit) { return limit <= kDeadlineMs - kMinWaitMs; });
  // Each server has at most 14 connections of this host.
  cr_assert(waited >= kRequests - 28, "%td", waited);
}
