#include <criterion/criterion.h>

#include <string>
#include <thread>
#include <vector>

#include "backend_server.h"
#include "base/errc.h"
#include "control_service.h"
#include "key_value_service.h"
#include "transport/http_fetch.h"
#include "transport/key_value_client.h"

using namespace limpetlever;

namespace {

const std::string kIp = "127.0.0.1";

std::string At(int port) {
  return kIp + ":" + std::to_string(port);
}

backend_settings Server() {
  backend_settings settings;
  settings.versions = {{.version = 1, .shard_count = 1, .shards = {0}}};
  return settings;
}

result<http_reply> Ask(int port, const std::string& path, const std::string& body) {
  return HttpFetch({.address = At(port),
                    .method = "POST",
                    .path = path,
                    .body = body,
                    .headers = {{"X-Snapshot-Version", "1"},
                                {"X-Request-Id", body},
                                {"X-Idempotency-Key", path == "/submit" ? "key-1" : ""}}});
}

}  // namespace

// Guards against tests of lost answers that pass because the write was lost as well.
Test(key_value_service, a_lost_answer_leaves_the_write_in_force) {
  key_value_service store(kIp, 0);
  store.set_faults({.latency_ms = 0, .outage = false, .lost_answers = 1});
  key_value_client client(At(store.port()));
  const auto lost = client.Put("a", "1", 0);
  cr_assert(!lost);
  cr_assert(lost.error().code == errc::store_outcome_unknown);
  cr_assert(client.Get("a")->value == "1");
  cr_assert(client.Put("a", "2", 0).error().code == errc::store_conflict);
}

// Guards against an outage that is not seen as "nothing happened".
Test(key_value_service, an_outage_has_no_effect_and_calls_are_counted) {
  key_value_service store(kIp, 0);
  store.set_faults({.latency_ms = 0, .outage = true, .lost_answers = 0});
  key_value_client client(At(store.port()));
  cr_assert(client.Put("a", "1", 0).error().code == errc::store_unavailable);
  store.set_faults({});
  cr_assert(client.Get("a").error().code == errc::not_found);
  cr_assert(store.Counters() == R"({"read":1,"write":1})", "%s", store.Counters().c_str());
}

// Guards against work above the slots, or without the mark that it did not run.
Test(backend_server, without_a_free_slot_it_sheds_with_not_run) {
  backend_settings settings = Server();
  settings.slots = 0;
  backend_server server(kIp, settings, 1);
  const auto reply = Ask(server.port(), "/submit", "x");
  cr_assert(reply && reply->status == 503);
  cr_assert(HeaderValue(*reply, "x-not-run") == "1");
  cr_assert(server.Record().find("\"ledger\":{}") != std::string::npos);
}

// Guards against answers from a version that the server does not hold.
Test(backend_server, a_version_it_does_not_hold_is_gone) {
  backend_settings settings = Server();
  settings.versions = {{.version = 2, .shard_count = 1, .shards = {0}}};
  backend_server server(kIp, settings, 1);
  const auto reply = Ask(server.port(), "/shard/0", "x");
  cr_assert(reply && reply->status == 410);
  cr_assert(HeaderValue(*reply, "x-not-run") == "1");
}

// Guards against runs of a key that the ledger misses.
Test(backend_server, the_ledger_counts_every_run_of_a_key) {
  backend_server server(kIp, Server(), 1);
  cr_assert(Ask(server.port(), "/submit", "x")->status == 200);
  cr_assert(Ask(server.port(), "/submit", "y")->status == 200);
  cr_assert(server.Record().find("\"key-1\":2") != std::string::npos);
}

// Guards against a crash that leaves the port open or keeps the instance id.
Test(backend_server, a_marked_request_ends_it_and_it_returns_as_another_instance) {
  backend_settings settings = Server();
  settings.crash_mark = "boom";
  settings.restart_ms = 0;
  backend_server server(kIp, settings, 1);
  const std::string before = HttpFetch({.address = At(server.port()), .path = "/status"})->body;
  cr_assert(!Ask(server.port(), "/shard/0", "boom"));
  server.Tick();
  const auto after = HttpFetch({.address = At(server.port()), .path = "/status"});
  cr_assert(after);
  cr_assert(after->body != before);
}

// Guards against a control call that changes other servers than those named, or accepts a
// misspelt fault.
Test(control_service, a_fault_reaches_the_named_servers_only) {
  std::vector<std::unique_ptr<backend_server>> servers;
  servers.push_back(std::make_unique<backend_server>(kIp, Server(), 1));
  servers.push_back(std::make_unique<backend_server>(kIp, Server(), 2));
  control_service control(kIp, 0, nullptr, nullptr, servers);
  const std::string port = std::to_string(servers[0]->port());
  const auto post = [&](const std::string& body) {
    return HttpFetch(
        {.address = At(control.port()), .method = "POST", .path = "/control", .body = body});
  };
  cr_assert(post(R"({"backends":[{"at_port":)" + port + R"(,"draining":true}]})")->status == 200);
  cr_assert(servers[0]->settings().draining);
  cr_assert(!servers[1]->settings().draining);
  cr_assert(post(R"({"backends":[{"drainin":true}]})")->status == 400);
}

// Guards against a lease that never ends.
Test(key_value_service, a_value_held_by_a_lease_vanishes) {
  key_value_service store(kIp, 0);
  const std::string address = At(store.port());
  const auto put = HttpFetch(
      {.address = address, .method = "PUT", .path = "/kv/a?revision=0&lease_ms=1", .body = "1"});
  cr_assert(put && put->status == 200);
  key_value_client client(address);
  while (client.Get("a")) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  cr_assert(client.Get("a").error().code == errc::not_found);
}

// Guards against a silent connection that takes the whole server with it.
Test(backend_server, a_silent_request_leaves_other_connections_working) {
  backend_settings settings = Server();
  settings.silent_requests = 1;
  backend_server server(kIp, settings, 1);
  const auto silent = HttpFetch({.address = At(server.port()),
                                 .method = "POST",
                                 .path = "/shard/0",
                                 .body = "x",
                                 .headers = {{"X-Snapshot-Version", "1"}},
                                 .time_limit = std::chrono::milliseconds(100)});
  cr_assert(!silent);
  cr_assert(silent.error().code == errc::connection_lost);
  cr_assert(Ask(server.port(), "/shard/0", "y")->status == 200);
}

// Guards against a cold server that takes its full load, or that never becomes warm.
Test(backend_server, a_cold_server_has_fewer_slots_until_it_has_worked) {
  backend_settings settings = Server();
  settings.cold_slots = 1;
  settings.slots = 5;
  settings.warm_up_ms = 4;
  settings.service_time_us = 2000;
  backend_server server(kIp, settings, 1);
  cr_assert(server.Record().find("\"limit\":1") != std::string::npos);
  cr_assert(Ask(server.port(), "/shard/0", "x")->status == 200);
  cr_assert(Ask(server.port(), "/shard/0", "y")->status == 200);
  cr_assert(server.Record().find("\"limit\":5") != std::string::npos);
}

// Guards against cancelled work that holds its slot to the end: the work would take an hour.
Test(backend_server, a_cancelled_request_ends_early) {
  backend_settings settings = Server();
  settings.service_time_us = 1'000'000'000;
  backend_server server(kIp, settings, 1);
  std::thread asker([&] { cr_assert(Ask(server.port(), "/shard/0", "id-1")->status == 499); });
  while (server.Record().find("\"greatest_running\":1") == std::string::npos) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  cr_assert(Ask(server.port(), "/cancel/id-1", "")->status == 200);
  asker.join();
}
