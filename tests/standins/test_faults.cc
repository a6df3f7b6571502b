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

std::string LocalAddress(int port) {
  return kIp + ":" + std::to_string(port);
}

backend_settings MakeOneShardSettings() {
  backend_settings settings;
  settings.versions = {{.version = 1, .shard_count = 1, .shards = {0}}};
  return settings;
}

result<http_reply> SendRequest(int port, const std::string& path, const std::string& body) {
  return HttpFetch({.address = LocalAddress(port),
                    .method = "POST",
                    .path = path,
                    .body = body,
                    .headers = {{"X-Snapshot-Version", "1"},
                                {"X-Request-Id", body},
                                {"X-Idempotency-Key", path == "/submit" ? "key-1" : ""}}});
}

}  // namespace

// Guards against a lost-answer fault that also drops the write: tests of unknown outcomes would
// then pass without covering the case.
Test(key_value_service, a_write_with_a_lost_answer_takes_effect) {
  key_value_service store(kIp, 0);
  store.set_faults({.latency_ms = 0, .outage = false, .lost_answers = 1});
  key_value_client client(LocalAddress(store.port()));
  const auto lost = client.Put("a", "1", 0);
  cr_assert(!lost);
  cr_assert(lost.error().code == errc::store_outcome_unknown);
  cr_assert(client.Get("a")->value == "1");
  cr_assert(client.Put("a", "2", 0).error().code == errc::store_conflict);
}

// Guards against an outage that is not reported as "no effect", and against calls missing in the
// counters.
Test(key_value_service, an_outage_has_no_effect_and_calls_are_counted) {
  key_value_service store(kIp, 0);
  store.set_faults({.latency_ms = 0, .outage = true, .lost_answers = 0});
  key_value_client client(LocalAddress(store.port()));
  cr_assert(client.Put("a", "1", 0).error().code == errc::store_unavailable);
  store.set_faults({});
  cr_assert(client.Get("a").error().code == errc::not_found);
  cr_assert(store.Counters() == R"({"read":1,"write":1})", "%s", store.Counters().c_str());
}

// Guards against running more requests than slots, and against a refusal without the X-Not-Run
// header.
Test(backend_server, sheds_with_not_run_when_no_slot_is_free) {
  backend_settings settings = MakeOneShardSettings();
  settings.slots = 0;
  backend_server server(kIp, settings, 1);
  const auto reply = SendRequest(server.port(), "/submit", "x");
  cr_assert(reply && reply->status == 503);
  cr_assert(HeaderValue(*reply, "x-not-run") == "1");
  cr_assert(server.Record().find("\"ledger\":{}") != std::string::npos);
}

// Guards against answers from a version that the server does not hold.
Test(backend_server, answers_410_for_a_version_it_does_not_hold) {
  backend_settings settings = MakeOneShardSettings();
  settings.versions = {{.version = 2, .shard_count = 1, .shards = {0}}};
  backend_server server(kIp, settings, 1);
  const auto reply = SendRequest(server.port(), "/shard/0", "x");
  cr_assert(reply && reply->status == 410);
  cr_assert(HeaderValue(*reply, "x-not-run") == "1");
}

// Guards against a run of an idempotency key that is missing in the ledger.
Test(backend_server, the_ledger_counts_every_run_of_a_key) {
  backend_server server(kIp, MakeOneShardSettings(), 1);
  cr_assert(SendRequest(server.port(), "/submit", "x")->status == 200);
  cr_assert(SendRequest(server.port(), "/submit", "y")->status == 200);
  cr_assert(server.Record().find("\"key-1\":2") != std::string::npos);
}

// Guards against a crash that leaves the port open or keeps the instance id.
Test(backend_server, a_request_with_the_crash_mark_restarts_it_as_a_new_instance) {
  backend_settings settings = MakeOneShardSettings();
  settings.crash_mark = "boom";
  settings.restart_ms = 0;
  backend_server server(kIp, settings, 1);
  const std::string before =
      HttpFetch({.address = LocalAddress(server.port()), .path = "/status"})->body;
  cr_assert(!SendRequest(server.port(), "/shard/0", "boom"));
  server.Tick();
  const auto after = HttpFetch({.address = LocalAddress(server.port()), .path = "/status"});
  cr_assert(after);
  cr_assert(after->body != before);
}

// Guards against a control call that changes other servers than those named, or accepts a
// misspelt fault.
Test(control_service, a_fault_applies_to_the_named_servers_only) {
  std::vector<std::unique_ptr<backend_server>> servers;
  servers.push_back(std::make_unique<backend_server>(kIp, MakeOneShardSettings(), 1));
  servers.push_back(std::make_unique<backend_server>(kIp, MakeOneShardSettings(), 2));
  control_service control(kIp, 0, nullptr, nullptr, servers);
  const std::string port = std::to_string(servers[0]->port());
  const auto post = [&](const std::string& body) {
    return HttpFetch({.address = LocalAddress(control.port()),
                      .method = "POST",
                      .path = "/control",
                      .body = body});
  };
  cr_assert(post(R"({"backends":[{"at_port":)" + port + R"(,"draining":true}]})")->status == 200);
  cr_assert(servers[0]->settings().draining);
  cr_assert(!servers[1]->settings().draining);
  cr_assert(post(R"({"backends":[{"drainin":true}]})")->status == 400);
}

// Guards against a leased value that outlives its lease.
Test(key_value_service, a_leased_value_is_removed_at_the_end_of_its_lease) {
  key_value_service store(kIp, 0);
  const std::string address = LocalAddress(store.port());
  const auto put = HttpFetch(
      {.address = address, .method = "PUT", .path = "/kv/a?revision=0&lease_ms=1", .body = "1"});
  cr_assert(put && put->status == 200);
  key_value_client client(address);
  while (client.Get("a")) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  cr_assert(client.Get("a").error().code == errc::not_found);
}

// Guards against a silent request that blocks the whole server.
Test(backend_server, a_silent_request_leaves_other_connections_working) {
  backend_settings settings = MakeOneShardSettings();
  settings.silent_requests = 1;
  backend_server server(kIp, settings, 1);
  const auto silent = HttpFetch({.address = LocalAddress(server.port()),
                                 .method = "POST",
                                 .path = "/shard/0",
                                 .body = "x",
                                 .headers = {{"X-Snapshot-Version", "1"}},
                                 .time_limit = std::chrono::milliseconds(100)});
  cr_assert(!silent);
  cr_assert(silent.error().code == errc::connection_lost);
  cr_assert(SendRequest(server.port(), "/shard/0", "y")->status == 200);
}

// Guards against a cold server that accepts its full load, and against one that never becomes warm.
Test(backend_server, a_cold_server_has_fewer_slots_until_it_has_worked) {
  backend_settings settings = MakeOneShardSettings();
  settings.cold_slots = 1;
  settings.slots = 5;
  settings.warm_up_ms = 4;
  settings.service_time_us = 2000;
  backend_server server(kIp, settings, 1);
  cr_assert(server.Record().find("\"limit\":1") != std::string::npos);
  cr_assert(SendRequest(server.port(), "/shard/0", "x")->status == 200);
  cr_assert(SendRequest(server.port(), "/shard/0", "y")->status == 200);
  cr_assert(server.Record().find("\"limit\":5") != std::string::npos);
}

// Guards against cancelled work that holds its slot to the end of its service time.
Test(backend_server, a_cancelled_request_ends_early) {
  backend_settings settings = MakeOneShardSettings();
  settings.service_time_us = 1'000'000'000;
  backend_server server(kIp, settings, 1);
  std::thread caller(
      [&] { cr_assert(SendRequest(server.port(), "/shard/0", "id-1")->status == 499); });
  while (server.Record().find("\"greatest_running\":1") == std::string::npos) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  cr_assert(SendRequest(server.port(), "/cancel/id-1", "")->status == 200);
  caller.join();
}
