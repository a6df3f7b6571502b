#include "node_world.h"

using namespace limpetlever;

// Guards the whole path: a merged answer with its parts, a single answer passed on, the directory,
// readiness, metrics and a route that does not exist.
Test(node_server, serves_the_whole_path) {
  node_world world;
  world.AwaitReady();
  const answer merged = world.Ask("GET", "/q/1", "id-1");
  cr_assert(merged.status == 200 && merged.body.size() == 32);
  cr_assert(merged.body[0] == 'b' && merged.body[16] == 'a', "greatest first");
  cr_assert(merged.fields.at("Part-Stamps").find("sig-") != std::string::npos);
  const answer single = world.Ask("POST", "/p/1", "id-2", "body");
  cr_assert(single.status == 200 && single.body.size() == 16);
  cr_assert(single.fields.at("Response-Seal") == "sig-" + single.body.substr(0, 2));
  cr_assert(world.RunsOf("id-2") == 1);
  cr_assert(world.Ask("GET", "/none/1", "id-3").status == 404);
  cr_assert(world.Ask("POST", "/p/1", "id-4", std::string(1001, 'x')).status == 413);
  const auto directory = node_world::Get(*world.settings().directory_address,
                                         "/lookup?name=h.example&region=r&zone=dc-a");
  cr_assert(directory.body.find(std::to_string(world.settings().caller_address.port)) !=
            std::string::npos);
  cr_assert(node_world::Get(world.settings().metrics_address, "/metrics")
                .body.find("limpetlever_answers_total") != std::string::npos);
}

// Guards against a request that may run once and runs again after its answer was lost, or is
// reported as not run.
Test(node_server, a_lost_answer_is_not_asked_for_again) {
  node_world world({{"s1", {.loses_answers = true}}, {"s2", {.loses_answers = true}}});
  world.AwaitReady();
  cr_assert(world.Ask("POST", "/p/1", "id-1", "body").status == 502);
  cr_assert(world.RunsOf("id-1") == 1);
}

// Guards against giving up, or reporting as run, what the servers refused.
Test(node_server, a_refused_request_runs_at_another_try) {
  node_world world({{"s1", {.refusals = 1}}, {"s2", {.refusals = 1}}});
  world.AwaitReady();
  const answer got = world.Ask("POST", "/p/1", "id-1", "body");
  cr_assert(got.status == 200);
  cr_assert(world.RunsOf("id-1") == 1);
}

// Guards against a graceful stop that cuts a request, and against naming a host that leaves.
Test(node_server, a_stop_answers_what_is_under_way) {
  node_world world({{"s1", {.delay = std::chrono::milliseconds(700)}},
                    {"s2", {.delay = std::chrono::milliseconds(700)}}});
  world.AwaitReady();
  answer got;
  std::thread caller([&] { got = world.Ask("POST", "/p/1", "id-1", "body"); });
  while (world.RunsOf("id-1") == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  kill(getpid(), SIGTERM);
  caller.join();
  cr_assert(got.status == 200 && got.body.size() == 16);
  cr_assert(node_world::Get(world.settings().readiness_address, "/readiness").status == 503);
  cr_assert(node_world::Get(*world.settings().directory_address, "/lookup?name=h").status != 200);
  world.JoinNode();
  cr_assert(node_world::Get(world.settings().readiness_address, "/readiness").status == 0);
}

// Guards against servers that work on for a caller who has left.
Test(node_server, a_caller_that_leaves_ends_the_work) {
  node_world world(
      {{"s1", {.delay = std::chrono::seconds(30)}}, {"s2", {.delay = std::chrono::seconds(30)}}});
  world.AwaitReady();
  {
    Poco::Net::HTTPClientSession session(world.settings().caller_address.ip,
                                         world.settings().caller_address.port);
    Poco::Net::HTTPRequest request("GET", "/p/1", "HTTP/1.1");
    request.setHost("h.example");
    request.set("Attempt-Id", "id-1");
    session.sendRequest(request);
    session.flushRequest();
    while (world.RunsOf("id-1") == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  while (world.CutsOf("id-1") == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

// Guards against a request that crashes one server after the other: its caller sends it again, and
// by then two servers have died of it.
Test(node_server, a_request_that_crashes_servers_is_stopped) {
  node_world world;
  world.AwaitReady();
  cr_assert(world.Ask("GET", "/i/poison", "id-1").status == 502);
  cr_assert(world.RunsOf("id-1") == 2);
  world.RestartServers();
  while (world.Ask("GET", "/i/1", "id-2").status != 200) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  const answer again = world.Ask("GET", "/i/poison", "id-3");
  cr_assert(again.status == 503 && world.RunsOf("id-3") == 0);
  cr_assert(world.Ask("GET", "/i/2", "id-4").status == 200, "other requests are served");
}
