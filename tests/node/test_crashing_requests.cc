#include "host_fixture.h"

using namespace limpetlever;

namespace {

/** Restarts the crashed servers and waits until they serve requests again. */
void Recover(host_fixture& fixture) {
  fixture.RestartServers();
  for (int i = 0; fixture.SendRequest("GET", "/i/1", "r" + std::to_string(i)).status != 200 ||
                  fixture.SendRequest("GET", "/q/1", "q" + std::to_string(i)).status != 200;
       ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

}  // namespace

// Guards against a crash that goes unnoticed, since other connections to the server were open and
// ended after the one with the request.
Test(crashing_requests, is_blocked_if_the_servers_had_idle_connections) {
  host_fixture fixture({{"s1", {.delay = std::chrono::milliseconds(200)}},
                        {"s2", {.delay = std::chrono::milliseconds(200)}}});
  fixture.WaitUntilReady();
  constexpr int kConcurrentRequests = 16;
  std::vector<std::thread> callers;
  for (int i = 0; i < kConcurrentRequests; ++i) {
    callers.emplace_back(
        [&fixture, i] { fixture.SendRequest("GET", "/i/1", "id-" + std::to_string(i)); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  fixture.SendRequest("GET", "/i/poison", "poison-1");
  Recover(fixture);
  cr_assert(fixture.SendRequest("GET", "/i/poison", "poison-2").status == 503);
  cr_assert(fixture.RunCount("poison-2") == 0);
}

// Guards against a query that crashes the servers of all its shards twice: the lost parts are asked
// for again before it is known that their servers have crashed.
Test(crashing_requests, is_not_retried_once_two_servers_have_crashed) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  fixture.SendRequest("GET", "/q/poison", "poison-1");
  cr_assert(fixture.RunCount("poison-1") < 4, "all four servers of the two shards have crashed");
  Recover(fixture);
  cr_assert(fixture.SendRequest("GET", "/q/poison", "poison-2").status == 503);
  cr_assert(fixture.RunCount("poison-2") == 0);
}

// Guards against a failure of one server that counts as a completed run, which clears the request
// of having crashed another one.
Test(crashing_requests, is_blocked_although_a_server_answered_with_a_failure) {
  host_fixture fixture({{"s2", {.failures = 1}}});
  fixture.WaitUntilReady();
  cr_assert(fixture.SendRequest("GET", "/i/poison", "poison-1").status == 500);
  Recover(fixture);
  fixture.SendRequest("GET", "/i/poison", "poison-2");
  Recover(fixture);
  cr_assert(fixture.SendRequest("GET", "/i/poison", "poison-3").status == 503);
  cr_assert(fixture.RunCount("poison-3") == 0);
}

// Guards against a crash that is not traced to its request, since the server went silent and the
// request was given up at its deadline.
Test(crashing_requests, is_blocked_if_the_servers_fell_silent) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  constexpr int kDeadlineMs = 300;
  for (int i = 0; i < 2; ++i) {
    fixture.SendRequest("GET", "/i/silent-poison", "poison-" + std::to_string(i), {}, kDeadlineMs);
  }
  // Finds that the servers refuse connections.
  while (fixture.SendRequest("GET", "/i/1", "id", {}, kDeadlineMs).status != 503) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  Recover(fixture);
  cr_assert(fixture.SendRequest("GET", "/i/silent-poison", "poison-3").status == 503);
  cr_assert(fixture.RunCount("poison-3") == 0);
}

// Guards against a request that crashes further servers, since its caller has another address when
// it sends it again.
Test(crashing_requests, is_blocked_for_another_address_of_the_caller) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  fixture.SendRequest("GET", "/i/poison", "poison-1");
  Recover(fixture);
  constexpr int kDeadlineMs = 5000;
  cr_assert(
      fixture.SendRequest("GET", "/i/poison", "poison-2", {}, kDeadlineMs, "127.0.0.2").status ==
      503);
  cr_assert(fixture.RunCount("poison-2") == 0);
}

// Guards against a host that has forgotten which requests crash servers when it starts again.
Test(crashing_requests, is_blocked_after_a_restart_of_the_host) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  fixture.SendRequest("GET", "/i/poison", "poison-1");
  Recover(fixture);
  cr_assert(fixture.SendRequest("GET", "/i/poison", "poison-2").status == 503);
  kill(getpid(), SIGTERM);
  fixture.WaitUntilStopped();
  fixture.StartHost();
  fixture.WaitUntilReady();
  cr_assert(fixture.SendRequest("GET", "/i/poison", "poison-3").status == 503);
  cr_assert(fixture.RunCount("poison-2") == 0 && fixture.RunCount("poison-3") == 0);
}

// Guards against a proper request that is blocked, since its answers were lost on two servers that
// left soon afterwards as planned.
Test(crashing_requests, a_server_that_leaves_as_planned_has_not_crashed) {
  host_fixture fixture({{"s1", {.loses_answers = true}}, {"s2", {.loses_answers = true}}});
  fixture.WaitUntilReady();
  cr_assert(fixture.SendRequest("GET", "/i/1", "id-1").status == 502);
  const int runs = fixture.RunCount("id-1");
  cr_assert(runs >= 2, "%d", runs);
  for (const char* id : {"s1", "s2"}) {
    fixture.DrainServer(id);
  }
  while (fixture.SendRequest("GET", "/i/2", "id-2").status != 503) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  for (const char* id : {"s1", "s2"}) {
    fixture.RemoveFromStore(std::string("servers/") + id);
  }
  while (fixture.Metric("limpetlever_backend_servers") > 4) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  for (const char* id : {"s1", "s2"}) {
    fixture.RegisterServer(id);
  }
  while (fixture.Metric("limpetlever_backend_servers") < 6) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  fixture.SendRequest("GET", "/i/1", "id-3");
  cr_assert(fixture.RunCount("id-3") > 0, "the request is blocked");
}

// Guards against a request that crashes the same server again and again: the server starts again
// under its id each time, and that counted as one server.
Test(crashing_requests, is_blocked_after_it_has_crashed_two_processes_of_one_server) {
  host_fixture fixture;
  fixture.WaitUntilReady();
  // The only server of the service.
  fixture.RemoveFromStore("servers/s2");
  while (fixture.Metric("limpetlever_backend_servers") != 5) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  for (int start = 2; start <= 3; ++start) {
    fixture.SendRequest("POST", "/p/poison", "poison-" + std::to_string(start), "body", 2000);
    cr_assert(fixture.RunCount("poison-" + std::to_string(start)) == 1);
    fixture.RestartServers();
    std::string entry = fixture.EntryOf("s1");
    const std::string born = "\"born\":1}";
    entry.replace(entry.find(born), born.size(), "\"born\":" + std::to_string(start) + "}");
    fixture.WriteToStore("servers/s1", entry);
    // Longer than a change of the store takes to arrive.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    cr_assert(fixture.SendRequest("GET", "/i/1", "r-" + std::to_string(start)).status == 200);
  }
  cr_assert(fixture.SendRequest("POST", "/p/poison", "poison-4", "body").status == 503);
  cr_assert(fixture.RunCount("poison-4") == 0);
}
